package fulmarwire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// Limits of a decoded message.
const (
	maxNesting  = 16
	maxElements = 1 << 17 // of an array or a map
)

// Codec encodes messages in CBOR; it implements drpc.Encoding.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns the codec for the current protocol version.
func New() (Codec, error) {
	enc, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return Codec{}, errors.Wrap(err, "fulmarwire: encoder options")
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		return Codec{}, errors.Wrap(err, "fulmarwire: decoder options")
	}
	return Codec{enc: enc, dec: dec}, nil
}

// Marshal returns the encoding of msg.
func (c Codec) Marshal(msg drpc.Message) ([]byte, error) {
	b, err := c.enc.Marshal(msg)
	return b, errors.Wrap(err, "fulmarwire: encode")
}

// Unmarshal decodes one message into msg.
func (c Codec) Unmarshal(buf []byte, msg drpc.Message) error {
	return errors.Wrap(c.dec.Unmarshal(buf, msg), "fulmarwire: decode")
}
