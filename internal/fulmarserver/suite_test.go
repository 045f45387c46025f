package fulmarserver_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarserver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarserver")
}
