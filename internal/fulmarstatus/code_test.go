package fulmarstatus_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarstatus"
)

// Guards against numbers that are no status and pass as one.
func TestCode(t *testing.T) {
	for _, c := range []struct {
		code           fulmarstatus.Code
		interim, final bool
	}{
		{0, false, false},
		{99, false, false},
		{100, true, false},
		{199, true, false},
		{200, false, true},
		{599, false, true},
		{600, false, false},
		{999, false, false},
	} {
		t.Run(strconv.Itoa(int(c.code)), func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.code.IsInterim()).To(Equal(c.interim))
			g.Expect(c.code.IsFinal()).To(Equal(c.final))
		})
	}
}
