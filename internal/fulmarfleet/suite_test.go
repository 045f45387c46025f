package fulmarfleet

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarfleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarfleet")
}
