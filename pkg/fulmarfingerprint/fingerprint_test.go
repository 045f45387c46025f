package fulmarfingerprint_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarfingerprint"
)

// Guards against requests with different contents that are taken for the same one.
func TestNew(t *testing.T) {
	g := NewWithT(t)
	want := fulmarfingerprint.New([]byte("body"), "GET", "/a", "7")
	g.Expect(fulmarfingerprint.New([]byte("body"), "GET", "/a", "7")).To(Equal(want))
	for name, other := range map[string]uint64{
		"field":  fulmarfingerprint.New([]byte("body"), "GET", "/b", "7"),
		"split":  fulmarfingerprint.New([]byte("body"), "GET/", "a", "7"),
		"body":   fulmarfingerprint.New([]byte("other"), "GET", "/a", "7"),
		"border": fulmarfingerprint.New([]byte("ody"), "GET", "/a", "7b"),
	} {
		g.Expect(other).NotTo(Equal(want), name)
	}
	long := bytes.Repeat([]byte("x"), 64<<10)
	g.Expect(fulmarfingerprint.New(append(long, 'y'), "f")).To(Equal(fulmarfingerprint.New(long, "f")), "rest of a long body")
}
