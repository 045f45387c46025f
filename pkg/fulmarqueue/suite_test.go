package fulmarqueue_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	// The faults that the properties guard against take up to some thousand
	// sequences to show; the default of rapid is 100.
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		if err := flag.Set(checks.Name, "5000"); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "fulmarqueue")
}
