package fulmarconfig

import (
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Bounds of a stored configuration, in bytes. The key-value service stores values of at most 1 MB.
const (
	MaxTextSize          = 960_000
	maxOperationIDLength = 64
	maxAuthorLength      = 128
	maxEncodedSize       = MaxTextSize + 1024
)

// Errors of encoding and decoding the stored form.
var (
	ErrEncoding    = errors.New("fulmarconfig: malformed stored configuration")
	ErrOutOfBounds = errors.New("fulmarconfig: stored configuration is out of bounds")
)

// Versioned is a configuration text with its metadata, as stored in the key-value service.
type Versioned struct {
	Version     uint64 `cbor:"version"`
	OperationID string `cbor:"operation"` // identifies the put, so that its outcome can be read back after a lost answer
	Author      string `cbor:"author"`
	Text        []byte `cbor:"text"`
}

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  4,
		MaxArrayElements: 16,
		MaxMapPairs:      16,
	}.DecMode()
	if err != nil {
		panic("fulmarconfig: " + err.Error())
	}
	return mode
}()

// validate returns ErrOutOfBounds if a field is out of bounds or not valid UTF-8.
func (v Versioned) validate() error {
	if v.Version == 0 || len(v.OperationID) > maxOperationIDLength || len(v.Author) > maxAuthorLength || len(v.Text) > MaxTextSize ||
		!utf8.ValidString(v.OperationID) || !utf8.ValidString(v.Author) {
		return ErrOutOfBounds
	}
	return nil
}

// Encode returns the CBOR encoding, or ErrOutOfBounds if a field is too long or invalid.
func (v Versioned) Encode() ([]byte, error) {
	if err := v.validate(); err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(v)
	return b, errors.Wrap(err, "fulmarconfig")
}

// DecodeVersioned decodes the CBOR encoding; unknown fields are ignored. It does not parse the text.
func DecodeVersioned(b []byte) (Versioned, error) {
	if len(b) > maxEncodedSize {
		return Versioned{}, ErrOutOfBounds
	}
	var v Versioned
	if err := decMode.Unmarshal(b, &v); err != nil {
		return Versioned{}, errors.Wrap(ErrEncoding, err.Error())
	}
	if err := v.validate(); err != nil {
		return Versioned{}, err
	}
	return v, nil
}
