package fulmarcontrol

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarcontrol(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarcontrol")
}
