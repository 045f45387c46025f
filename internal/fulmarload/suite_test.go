package fulmarload_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarload")
}
