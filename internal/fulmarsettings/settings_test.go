package fulmarsettings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarsettings"
)

const validSettings = `id = "odda-1"
dc = "odda"
[listen]
callers = "127.0.0.1:8080"
data = "127.0.0.1:8081"
control = "127.0.0.1:8082"
admin = "127.0.0.1:8083"
[peer]
key = "000102030405060708090a0b0c0d0e0f"
seeds = ["127.0.0.2:8082"]
[admin]
key = "0f0e0d0c0b0a09080706050403020100"
[store]
address = "http://127.0.0.1:8500"
[timing]
ttl = "700ms"
`

func expectFault(text string, line int, field, problem string) {
	GinkgoHelper()
	_, err := fulmarsettings.Parse([]byte(text))
	var faults *fulmarsettings.FaultsError
	Expect(errors.As(err, &faults)).To(BeTrue(), "%v", err)
	for _, f := range faults.Faults {
		if f.Line == line && f.Field == field && strings.Contains(f.Problem, problem) {
			return
		}
	}
	Fail("no such fault in: " + err.Error())
}

var _ = Describe("Parse", func() {
	// Guards against the loss of the other defaults of a table when one of its values is set.
	It("fills in defaults", func() {
		s, err := fulmarsettings.Parse([]byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		want := fulmarsettings.DefaultTiming()
		want.GrantTTL = 700 * time.Millisecond
		Expect(s.Timing).To(Equal(want))
		Expect(s.Store.Timeout).To(Equal(time.Second))
		Expect(s.Peer.Key).To(HaveLen(16))
		Expect(s.Peer.Seeds).To(Equal([]string{"127.0.0.2:8082"}))
	})

	// Guards against a daemon that starts with settings under which the protocols are unsafe.
	DescribeTable("refuses", func(old, replacement string, line int, field, problem string) {
		expectFault(strings.Replace(validSettings, old, replacement, 1), line, field, problem)
	},
		Entry("unknown key", `ttl = `, `ttx = `, 16, "timing.ttx", "unknown key"),
		Entry("missing id", `id = "odda-1"`, ``, 0, "id", "is missing"),
		Entry("bad id", `"odda-1"`, `"odda/1"`, 1, "id", "letters"),
		Entry("host name", `"127.0.0.1:8081"`, `"localhost:8081"`, 5, "listen.data", "IP:port"),
		Entry("same address", `:8081`, `:8080`, 5, "listen.data", "same address as listen.callers"),
		Entry("unspecified seed", `127.0.0.2`, `0.0.0.0`, 10, "peer.seeds", "unspecified"),
		Entry("short key", `000102030405060708090a0b0c0d0e0f`, `00`, 9, "peer.key", "has 1 bytes"),
		Entry("key not hex", `0f0e`, `zz0e`, 12, "admin.key", "hexadecimal"),
		Entry("store host name", `127.0.0.1:8500`, `consul:8500`, 14, "store.address", "IP:port"),
		Entry("no unit", `"700ms"`, `700`, 16, "timing.ttl", "unit"),
		Entry("bad unit", `"700ms"`, `"700 parsecs"`, 16, "timing.ttl", "unit"),
		Entry("negative", `"700ms"`, `"-1s"`, 16, "timing.ttl", "out of bounds"),
		Entry("window at ttl", `ttl = "700ms"`, `window = "600ms"`, 16, "timing.window", "may renew grants for longer"),
		Entry("heartbeat near down", `ttl = "700ms"`, `heartbeat = "250ms"`, 16, "timing.heartbeat", "takes a live peer down"),
		Entry("heartbeat near window", `ttl = "700ms"`, `heartbeat = "200ms"`, 16, "timing.heartbeat", "ends the quorum lease"),
		Entry("renew near ttl", `ttl = "700ms"`, `renew = "300ms"`, 16, "timing.renew", "lets the grant lapse"),
		Entry("stale below window", `ttl = "700ms"`, `stale = "300ms"`, 16, "timing.stale", "refuses callers"),
		Entry("syntax", `ttl = "700ms"`, `ttl = `, 16, "", ""),
		Entry("duplicate key", `ttl = "700ms"`, "ttl = \"700ms\"\nttl = \"1s\"", 17, "timing.ttl", "already"),
	)

	// Guards against a parser that stops at the first fault, so that an operator finds one fault per start.
	It("returns all faults at once", func() {
		text := strings.NewReplacer(`"odda"`, `7`, `127.0.0.1:8083`, `x`, `ttl`, `tty`).Replace(validSettings)
		_, err := fulmarsettings.Parse([]byte(text))
		var faults *fulmarsettings.FaultsError
		Expect(errors.As(err, &faults)).To(BeTrue())
		Expect(faults.Faults).To(HaveLen(3))
	})
})

// Guards against an error that does not say which file is at fault.
var _ = It("Load names the file", func() {
	path := filepath.Join(GinkgoT().TempDir(), "settings.toml")
	Expect(os.WriteFile(path, []byte(validSettings), 0o600)).To(Succeed())
	_, err := fulmarsettings.Load(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(path, []byte("x = 1"), 0o600)).To(Succeed())
	_, err = fulmarsettings.Load(path)
	Expect(err).To(MatchError(ContainSubstring(path)))
})
