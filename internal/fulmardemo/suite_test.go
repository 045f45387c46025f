package fulmardemo

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmardemo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmardemo")
}
