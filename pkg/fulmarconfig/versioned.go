package fulmarconfig

import (
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Bounds of a stored configuration, in bytes. The key-value service holds at most 1 MB.
const (
	MaxTextSize  = 960_000
	maxOperation = 64
	maxAuthor    = 128
	maxEncoded   = MaxTextSize + 1024
)

// Errors of the stored form.
var (
	ErrEncoding    = errors.New("fulmarconfig: not a stored configuration")
	ErrOutOfBounds = errors.New("fulmarconfig: stored configuration is out of bounds")
)

// Versioned is a configuration with the metadata that the key-value service keeps.
type Versioned struct {
	Version     uint64 `cbor:"version"`
	OperationID string `cbor:"operation"` // id of the put, for reading back after a lost answer
	Author      string `cbor:"author"`
	Text        []byte `cbor:"text"`
}

var decoder = func() cbor.DecMode {
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

func (v Versioned) check() error {
	if v.Version == 0 || len(v.OperationID) > maxOperation || len(v.Author) > maxAuthor || len(v.Text) > MaxTextSize ||
		!utf8.ValidString(v.OperationID) || !utf8.ValidString(v.Author) {
		return ErrOutOfBounds
	}
	return nil
}

// Encode returns the CBOR form, or ErrBounds.
func (v Versioned) Encode() ([]byte, error) {
	if err := v.check(); err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(v)
	return b, errors.Wrap(err, "fulmarconfig")
}

// DecodeVersioned reads the CBOR form; unknown fields are ignored. It does not parse the text.
func DecodeVersioned(b []byte) (Versioned, error) {
	if len(b) > maxEncoded {
		return Versioned{}, ErrOutOfBounds
	}
	var v Versioned
	if err := decoder.Unmarshal(b, &v); err != nil {
		return Versioned{}, errors.Wrap(ErrEncoding, err.Error())
	}
	if err := v.check(); err != nil {
		return Versioned{}, err
	}
	return v, nil
}
