package fulmarhistory_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarhistory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarhistory")
}
