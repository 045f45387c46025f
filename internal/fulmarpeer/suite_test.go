package fulmarpeer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFulmarpeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarpeer")
}
