package fulmarhead_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhead"
)

// Guards against a field name that is none and passes, and against the opposite.
func TestCheck(t *testing.T) {
	for name, valid := range map[string]bool{
		"Content-Length": true, "x_1.~!#$%&'*+^`|": true,
		"": false, "Content Length": false, "Content-Length ": false, " X": false, "X\tY": false, "X\x00": false, "X\x7f": false, "X\r": false, "Ü": false,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			err := fulmarhead.Fields{"Good": {"x"}, name: {"x"}}.Check()
			g.Expect(err == nil).To(Equal(valid), "%v", err)
		})
	}
}
