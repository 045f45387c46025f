package fulmarleaderrpc

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// maxConfigSize bounds a decompressed configuration, in bytes.
const maxConfigSize = 64 << 20

// PackedConfig is a configuration in CBOR, compressed with gzip. Uncompressed, a configuration of thousands of routes
// would saturate the links of a fleet.
type PackedConfig []byte

// PackConfig returns the compressed form of a configuration.
func PackConfig(c fulmarroute.Config) (PackedConfig, error) {
	codec, err := fulmarwire.New()
	if err != nil {
		return nil, err
	}
	encoded, err := codec.Marshal(c)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "fulmarleaderrpc: compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "fulmarleaderrpc: compress configuration")
	}
	return out.Bytes(), nil
}

// Unpack decompresses and decodes the configuration.
func (p PackedConfig) Unpack() (c fulmarroute.Config, err error) {
	codec, err := fulmarwire.New()
	if err != nil {
		return c, err
	}
	r, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return c, errors.Wrap(err, "fulmarleaderrpc: decompress configuration")
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxConfigSize))
	if err != nil {
		return c, errors.Wrap(err, "fulmarleaderrpc: decompress configuration")
	}
	return c, codec.Unmarshal(encoded, &c)
}
