package fulmarpeer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Errors of the handshake and of malformed calls.
var (
	ErrProtocol = errors.New("fulmarpeer: not a fulmarbend peer")
	ErrVersion  = errors.New("fulmarpeer: protocol version not supported")
	ErrKey      = errors.New("fulmarpeer: peer does not know the shared key")
)

const (
	magic                 = "FULM"
	version          byte = 1
	nonceSize             = 32
	helloSize             = len(magic) + 1 + nonceSize
	handshakeTimeout      = 2 * time.Second
)

// hello is the first message of each side: the magic, the protocol version and a nonce.
type hello [helloSize]byte

func newHello() (hello, error) {
	var h hello
	copy(h[:], magic)
	h[len(magic)] = version
	if _, err := rand.Read(h[len(magic)+1:]); err != nil {
		return h, errors.Wrap(err, "fulmarpeer: nonce")
	}
	return h, nil
}

func (h hello) validate() error {
	if string(h[:len(magic)]) != magic {
		return ErrProtocol
	}
	if h[len(magic)] < 1 {
		return ErrVersion
	}
	return nil
}

// handshake runs one side of the handshake. Each proof covers the label of its
// sender, so that a proof can't be reflected to its sender.
func handshake(conn net.Conn, key []byte, localLabel, remoteLabel string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "fulmarpeer: deadline")
	}
	local, err := newHello()
	if err != nil {
		return err
	}
	if _, err := conn.Write(local[:]); err != nil {
		return errors.Wrap(err, "fulmarpeer: send hello")
	}
	var remote hello
	if _, err := io.ReadFull(conn, remote[:]); err != nil {
		return errors.Wrap(err, "fulmarpeer: receive hello")
	}
	if err := remote.validate(); err != nil {
		return err
	}
	if _, err := conn.Write(proof(key, localLabel, local, remote)); err != nil {
		return errors.Wrap(err, "fulmarpeer: send proof")
	}
	var remoteProof [sha256.Size]byte
	if _, err := io.ReadFull(conn, remoteProof[:]); err != nil {
		return errors.Wrap(err, "fulmarpeer: receive proof")
	}
	if !hmac.Equal(remoteProof[:], proof(key, remoteLabel, remote, local)) {
		return ErrKey
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "fulmarpeer: deadline")
}

// proof returns the HMAC of a side's label, its own hello and the other side's.
func proof(key []byte, label string, sender, receiver hello) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(sender[:])
	mac.Write(receiver[:])
	return mac.Sum(nil)
}
