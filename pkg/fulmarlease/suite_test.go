package fulmarlease_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarlease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarlease")
}
