package fulmarplan_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarplan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarplan")
}
