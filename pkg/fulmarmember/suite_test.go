package fulmarmember_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarmember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarmember")
}
