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

// Errors of the handshake.
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

func (h hello) check() error {
	if string(h[:len(magic)]) != magic {
		return ErrProtocol
	}
	if h[len(magic)] < 1 {
		return ErrVersion
	}
	return nil
}

// shake runs one side of the handshake. The label of each side enters its
// proof, so that a proof can't be reflected to its sender.
func shake(conn net.Conn, key []byte, own, other string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "fulmarpeer: deadline")
	}
	sent, err := newHello()
	if err != nil {
		return err
	}
	if _, err := conn.Write(sent[:]); err != nil {
		return errors.Wrap(err, "fulmarpeer: send hello")
	}
	var got hello
	if _, err := io.ReadFull(conn, got[:]); err != nil {
		return errors.Wrap(err, "fulmarpeer: receive hello")
	}
	if err := got.check(); err != nil {
		return err
	}
	if _, err := conn.Write(proof(key, own, sent, got)); err != nil {
		return errors.Wrap(err, "fulmarpeer: send proof")
	}
	var theirs [sha256.Size]byte
	if _, err := io.ReadFull(conn, theirs[:]); err != nil {
		return errors.Wrap(err, "fulmarpeer: receive proof")
	}
	if !hmac.Equal(theirs[:], proof(key, other, got, sent)) {
		return ErrKey
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "fulmarpeer: deadline")
}

func proof(key []byte, label string, own, other hello) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(own[:])
	mac.Write(other[:])
	return mac.Sum(nil)
}
