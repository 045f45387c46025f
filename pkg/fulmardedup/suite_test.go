package fulmardedup_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDedup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmardedup")
}
