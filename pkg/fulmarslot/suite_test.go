package fulmarslot_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarslot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarslot")
}
