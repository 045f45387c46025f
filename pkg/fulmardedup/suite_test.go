package fulmardedup_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDedup(t *testing.T) {
	RegisterFailHandler(Fail)
	// Some faults need up to several thousand random sequences to appear in the
	// property tests; rapid runs 100 by default.
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		if err := flag.Set(checks.Name, "5000"); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "fulmardedup")
}
