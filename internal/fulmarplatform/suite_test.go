package fulmarplatform_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarplatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarplatform")
}
