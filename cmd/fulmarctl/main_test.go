package main

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
	"github.com/fulmarbend/fulmarbend/internal/fulmarstore"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarconfig"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

const configText = "# ours\n[[service]]\nname = \"rota-board\"\nslots = 2\n[[group]]\nname = \"north\"\n"

// fakeSource is a fulmaradmin.Source. putErr is the result of each put, and otherVersion the version in
// force on member b.
type fakeSource struct {
	mu           sync.Mutex
	stored       fulmarconfig.Versioned
	putErr       error
	otherVersion uint64
	lifted       []uint64
}

func (f *fakeSource) Status() fulmaradmin.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.stored.Version
	return fulmaradmin.Status{Instance: "a", ConfigVersion: v, StoreState: fulmaradmin.StoreUp, Members: []fulmaradmin.Member{
		{ID: "a", State: "live", ConfigVersion: v}, {ID: "b", State: "live", ConfigVersion: f.otherVersion}, {ID: "c", State: "down"},
	}}
}

func (f *fakeSource) Table() fulmarslot.Table {
	t, err := fulmarslot.New(map[string]int{"rota-board": 2}).With(
		fulmarslot.PutTarget(fulmarslot.Target{ID: "t1", Service: "rota-board", Address: "127.0.0.1:1"}),
		fulmarslot.PutMember(fulmarslot.Member{ID: "c", Incarnation: 1}),
		fulmarslot.PutQuarantine(fulmarslot.Quarantine{Fingerprint: 0xab, Until: time.Now().Add(time.Hour)}),
	)
	if err != nil {
		panic(err)
	}
	return t
}

func (f *fakeSource) Versioned() fulmarconfig.Versioned {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stored
}

func (f *fakeSource) PutConfig(_ context.Context, v fulmarconfig.Versioned, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.putErr == nil {
		f.stored = v
	}
	return f.putErr
}

func (f *fakeSource) Holder(string) (fulmarslot.Member, bool) {
	return fulmarslot.Member{ID: "a"}, true
}
func (f *fakeSource) Confirm(string)          {}
func (f *fakeSource) Lift(fingerprint uint64) { f.lifted = append(f.lifted, fingerprint) }

var _ = Describe("fulmarctl", func() {
	key := []byte("0123456789abcdef")
	var source *fakeSource
	var address string
	BeforeEach(func() {
		source = &fakeSource{stored: fulmarconfig.Versioned{Version: 3, Author: "ann", OperationID: "op3", Text: []byte(configText)}, otherVersion: 3}
		server := httptest.NewServer(fulmaradmin.New(source, key))
		DeferCleanup(server.Close)
		address = strings.TrimPrefix(server.URL, "http://")
	})

	// expectExit runs a command line, checks its exit code and returns its output.
	expectExit := func(code int, args ...string) (stdout, stderr string) {
		GinkgoHelper()
		var out, errs bytes.Buffer
		line := append([]string{"fulmarctl", "--server", address, "--key", hex.EncodeToString(key), "--author", "bo"}, args...)
		got := run(context.Background(), line, strings.NewReader(configText+"[defaults]\nqueue = 9\n"), &out, &errs)
		Expect(got).To(Equal(code), "%v\n%s%s", args, out.String(), errs.String())
		return out.String(), errs.String()
	}

	// Guards against exit codes by which a script mistakes a failure for success, or one kind of failure for another.
	DescribeTable("exit codes", func(code int, output string, args ...string) {
		out, errs := expectExit(code, args...)
		Expect(out + errs).To(ContainSubstring(output))
	},
		Entry("status", 0, "store=up", "status"),
		Entry("config show", 0, "# version 3 by ann", "config", "show"),
		Entry("config check", 0, "no faults", "config", "check", "-"),
		Entry("config diff", 0, "~ defaults.queue: 64 -> 9", "config", "diff", "-"),
		Entry("config put", 0, "stored as version 4", "config", "put", "--base", "3", "-"),
		Entry("config put of an old base", 3, "~ defaults.queue", "config", "put", "--base", "2", "-"),
		Entry("config put without base", 2, "base", "config", "put", "-"),
		Entry("config put of no file", 1, "no such file", "config", "put", "--base", "3", "/nonexistent"),
		Entry("config set", 0, "stored", "config", "set", "weight", "2"),
		Entry("config set out of bounds", 1, "greater than 0", "config", "set", "weight", "0"),
		Entry("config set of an unknown name", 1, "unknown key", "config", "set", "wait", "0"),
		Entry("exception add", 0, "stored", "exception", "add", "--group", "north", "--weight", "2", "--reason", "contract", "x"),
		Entry("exception for an unknown group", 1, "unknown group", "exception", "add", "--group", "west", "--weight", "2", "--reason", "r", "x"),
		Entry("exception without reason", 2, "reason", "exception", "add", "--group", "north", "--weight", "2", "x"),
		Entry("exception remove", 1, "no exception", "exception", "remove", "x"),
		Entry("exception list", 0, "", "exception", "list"),
		Entry("drain add", 0, "stored", "drain", "add", "--reason", "disk", "t1"),
		Entry("drain remove", 1, "not drained", "drain", "remove", "t1"),
		Entry("target list", 0, "127.0.0.1:1", "target", "list"),
		Entry("explain", 0, "weight", "explain", "--group", "north", "rota-board", "k"),
		Entry("explain an unknown service", 1, "unknown service", "explain", "pay-desk", "k"),
		Entry("explain without key", 2, "needs 2 arguments", "explain", "rota-board"),
		Entry("quarantine list", 0, "00000000000000ab suspect", "quarantine", "list"),
		Entry("quarantine lift", 0, "lifted", "quarantine", "lift", "00000000000000ab"),
		Entry("quarantine lift of nonsense", 2, "hexadecimal", "quarantine", "lift", "x"),
		Entry("roster confirm", 0, "confirmed", "roster", "confirm", "c"),
		Entry("roster confirm of a live member", 3, "not down", "roster", "confirm", "b"),
		Entry("completion", 0, "completion", "completion", "bash"),
		Entry("unknown command", 2, "no command", "statu"),
		Entry("unknown flag", 2, "bogus", "status", "--bogus"),
		Entry("host name", 2, "IP:port", "--server", "localhost:1", "status"),
		Entry("wrong key", 1, "wrong key", "--key", "00", "status"),
	)

	// Guards against the same exit code for a change that certainly failed and one that may have taken effect.
	It("distinguishes an outage from a lost response", func() {
		source.putErr = fulmarstore.ErrUnavailable
		expectExit(4, "config", "set", "weight", "2")
		source.putErr = fulmarstore.ErrAmbiguous
		_, errs := expectExit(5, "config", "set", "weight", "2")
		Expect(errs).To(ContainSubstring("operation: "))
		address = "127.0.0.1:1"
		expectExit(4, "status")
	})

	// Guards against a wait that ends before all live instances have the version, or that waits for a lost instance.
	It("waits for a version", func() {
		_, errs := expectExit(4, "status", "--wait", "4", "--timeout", "300ms")
		Expect(errs).To(ContainSubstring("waiting for a, b"))
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			expectExit(0, "status", "--wait", "4", "--timeout", "10s")
		}()
		source.mu.Lock()
		source.stored.Version = 4
		source.mu.Unlock()
		Consistently(done, "300ms").ShouldNot(BeClosed())
		source.mu.Lock()
		source.otherVersion = 4
		source.mu.Unlock()
		Eventually(done, "5s").Should(BeClosed())
	})

	// Guards against the loss of comments in the configuration when a command edits it.
	It("keeps comments", func() {
		expectExit(0, "config", "set", "body", "2MiB")
		Expect(string(source.stored.Text)).To(HavePrefix(configText))
		Expect(source.stored.Author).To(Equal("bo"))
	})

	// Guards against --json output that is not valid JSON.
	It("prints JSON", func() {
		for _, args := range [][]string{{"status"}, {"config", "show"}, {"exception", "list"}, {"target", "list"}, {"explain", "rota-board", "k"}, {"quarantine", "list"}, {"config", "set", "queue", "5"}} {
			out, _ := expectExit(0, append([]string{"--json"}, args...)...)
			Expect(json.Valid([]byte(out))).To(BeTrue(), out)
		}
	})

	// Guards against the rejection of a key file that ends with a newline, and against giving up after the
	// first daemon fails.
	It("takes servers and key from the environment", func() {
		broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		DeferCleanup(broken.Close)
		path := filepath.Join(GinkgoT().TempDir(), "key")
		Expect(os.WriteFile(path, []byte(hex.EncodeToString(key)+"\n"), 0o600)).To(Succeed())
		GinkgoT().Setenv("FULMARBEND_SERVERS", strings.TrimPrefix(broken.URL, "http://")+","+address)
		GinkgoT().Setenv("FULMARBEND_KEY_FILE", path)
		var out, errs bytes.Buffer
		Expect(run(context.Background(), []string{"fulmarctl", "status"}, nil, &out, &errs)).To(Equal(0), errs.String())
	})
})
