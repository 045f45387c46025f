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
	seedVariable = "FULMARPROOF_SEED"
	knownRed     = "../../KNOWN-RED.txt"
	redPrefix    = "test: fulmarproof: " // begins the line of an entry that names a test of this package
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
	for _, name := range redTests() {
		fmt.Println("passed over as listed in KNOWN-RED.txt:", name)
	}
})

// Exactly the tests that KNOWN-RED.txt names are passed over.
var _ = BeforeEach(func(_ context.Context) {
	for _, name := range redTests() {
		if name == CurrentSpecReport().FullText() {
			Skip("listed in KNOWN-RED.txt")
		}
	}
})

func redTests() []string {
	file, err := os.Open(knownRed)
	if err != nil {
		return nil
	}
	defer func() { _ = file.Close() }()
	var names []string
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if name, ok := strings.CutPrefix(strings.TrimSpace(lines.Text()), redPrefix); ok {
			names = append(names, name)
		}
	}
	return names
}
