package fulmarproof

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
)

const (
	seedVariable   = "FULMARPROOF_SEED"
	knownRedPath   = "../../KNOWN-RED.txt"
	knownRedPrefix = "test: fulmarproof: " // prefix of a line that names a test of this package
)

var (
	programs fulmarfleet.Programs
	seed     uint64
)

func TestFulmarproof(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fulmarproof")
}

var _ = BeforeSuite(func(ctx SpecContext) {
	var err error
	programs, err = fulmarfleet.Build(ctx, GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	seed = uint64(GinkgoRandomSeed())
	if text := os.Getenv(seedVariable); text != "" {
		seed, err = strconv.ParseUint(text, 10, 64)
		Expect(err).NotTo(HaveOccurred())
	}
	fmt.Printf("%s=%d\n", seedVariable, seed)
	for _, name := range knownRedTests() {
		fmt.Println("passed over as listed in KNOWN-RED.txt:", name)
	}
})

// Skips exactly the tests that KNOWN-RED.txt names.
var _ = BeforeEach(func(_ context.Context) {
	for _, name := range knownRedTests() {
		if name == CurrentSpecReport().FullText() {
			Skip("listed in KNOWN-RED.txt")
		}
	}
})

// knownRedTests returns the full names of the tests of this package that KNOWN-RED.txt lists.
func knownRedTests() []string {
	file, err := os.Open(knownRedPath)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var names []string
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if name, ok := strings.CutPrefix(strings.TrimSpace(lines.Text()), knownRedPrefix); ok {
			names = append(names, name)
		}
	}
	return names
}
