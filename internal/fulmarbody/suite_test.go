package fulmarbody_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBody(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarbody")
}
