package fulmarring_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarring(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarring")
}
