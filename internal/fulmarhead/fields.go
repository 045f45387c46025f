package fulmarhead

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Fields are the header fields of an answer.
type Fields http.Header

// Check returns an error if the name of a field is not a token (RFC 9110, section 5.1).
func (f Fields) Check() error {
	for name := range f {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("fulmarhead: %q is no field name", name)
		}
	}
	return nil
}
