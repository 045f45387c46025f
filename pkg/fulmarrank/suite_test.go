package fulmarrank_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarrank(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarrank")
}
