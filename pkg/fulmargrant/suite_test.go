package fulmargrant_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmargrant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmargrant")
}
