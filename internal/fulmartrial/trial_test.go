package fulmartrial

import (
	"bytes"
	"encoding/csv"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
)

const ms = int64(time.Millisecond)

func call(key, outcome string, once bool, start, end int64) fulmarhistory.Call {
	return fulmarhistory.Call{Service: "s", Key: key, Kind: "short", AtMostOnce: once, Outcome: outcome, Start: start * ms, End: end * ms}
}

var _ = Describe("measurements", func() {
	// Guards against metrics with labels that are taken for counters without.
	It("reads metrics without labels", func() {
		got := parse("# HELP a text 7\n# TYPE fulmarbend_epoch gauge\nfulmarbend_epoch 4\nfulmarbend_refusals_total{reason=\"x\"} 9\nfulmarbend_peer_bytes_sent 1.5e+06\n")
		Expect(got).To(HaveKeyWithValue("fulmarbend_epoch", 4.0))
		Expect(got).To(HaveKeyWithValue("fulmarbend_peer_bytes_sent", 1.5e6))
		Expect(got).NotTo(HaveKey("fulmarbend_refusals_total"))
	})

	// Guards against a version that counts as missing because a daemon went over
	// it to a later one, and against times of an earlier version.
	It("finds when a version came into force", func() {
		log := "time=2026-01-02T03:04:05.000Z level=INFO msg=\"configuration in force\" instance=a version=1 author=x\n" +
			"time=2026-01-02T03:04:06.250Z level=INFO msg=\"configuration in force\" instance=a version=3 author=x\n"
		at, ok := adopted(log, 2)
		Expect(ok).To(BeTrue())
		Expect(at).To(BeTemporally("==", time.Date(2026, 1, 2, 3, 4, 6, 250_000_000, time.UTC)))
		_, ok = adopted(log, 4)
		Expect(ok).To(BeFalse())
	})

	// Guards against gaps of one kind of service that are shown for the other.
	It("measures gaps of reads and of at-most-once work apart", func() {
		g := measureGaps([]fulmarhistory.Call{
			call("a", "served", false, 0, 10), call("a", "not-run", false, 100, 110), call("a", "served", false, 180, 200),
			call("b", "served", true, 0, 10), call("b", "unknown", true, 100, 110), call("b", "served", true, 380, 400),
		})
		Expect(g.reads).To(Equal(100 * time.Millisecond))
		Expect(g.once).To(Equal(300 * time.Millisecond))
		Expect(g.known).To(Equal(100 * time.Millisecond))
		Expect(g.open).To(BeFalse())
		Expect(g.notServed).To(Equal(2))
		Expect(g.unknown).To(Equal(1))
	})

	// Guards against outages that are hidden because requests wait in a daemon
	// until their key is served again, and against keys that stay lost.
	It("counts waiting requests and keys that are not served again", func() {
		longest, open := unavailable([]fulmarhistory.Call{
			call("a", "served", false, 0, 10), call("a", "served", false, 100, 900), call("a", "served", false, 500, 900),
			call("b", "served", false, 0, 1000), call("b", "served", false, 200, 210),
		})
		Expect(longest).To(Equal(800 * time.Millisecond))
		Expect(open).To(BeFalse())
		longest, open = unavailable([]fulmarhistory.Call{
			call("a", "served", false, 0, 10), call("a", "not-run", false, 100, 110), call("b", "served", false, 0, 400),
		})
		Expect(longest).To(Equal(400 * time.Millisecond))
		Expect(open).To(BeTrue())
	})

	// Guards against answers and refusals of another window in a summary.
	It("summarises a window", func() {
		s := summarise([]fulmarhistory.Call{
			call("a", "served", false, 900, 1100), call("a", "served", false, 1200, 1260),
			call("a", "not-run", false, 1500, 1500), call("a", "served", false, 1900, 2100),
		}, time.Unix(0, 0), time.Second, 2*time.Second)
		Expect(s.offered).To(Equal(3.0))
		Expect(s.served).To(Equal(2.0))
		Expect(s.p99).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
		Expect(s.reasons).To(Equal("not-run =1"))
	})

	// Guards against costs that count the time before the first reading, one
	// direction of the traffic only, or traffic during slow scrapes.
	It("takes the difference of two readings", func() {
		at := time.Unix(0, 0)
		a := reading{at: at, scraped: []time.Time{at.Add(-time.Second)}, metrics: []map[string]float64{{"fulmarbend_peer_bytes_sent": 100, "fulmarbend_peer_calls": 5}}, usages: []usage{{cpu: time.Second, read: 10}}, store: fulmarplatform.Counts{Reads: 7}}
		b := reading{at: at.Add(2 * time.Second), scraped: []time.Time{at.Add(3 * time.Second)}, metrics: []map[string]float64{{"fulmarbend_peer_bytes_sent": 300, "fulmarbend_peer_bytes_received": 100, "fulmarbend_peer_calls": 7, "fulmarbend_peer_answers": 4}}, usages: []usage{{cpu: 1100 * time.Millisecond, memory: 3 * megabyte, read: 20, written: 30}}, store: fulmarplatform.Counts{Reads: 9, Writes: 2}}
		r := between(a, b)
		Expect(r.cpu).To(BeNumerically("~", 5, 1e-9))
		Expect(r.memory).To(Equal(3.0))
		Expect(r.peerBytes).To(Equal(75.0))
		Expect(r.messages).To(Equal(3.0))
		Expect(r.allBytes).To(Equal(20.0))
		Expect(r.storeCalls).To(Equal(2.0))
	})

	// Guards against fleets with another number of targets than asked for.
	It("divides targets as Hardanger does", func() {
		got := hardanger(36, 256)
		Expect([]int{got[0].targets, got[1].targets, got[2].targets}).To(Equal([]int{20, 10, 6}))
		for _, n := range []int{12, 72} {
			sum := 0
			for _, s := range hardanger(n, 256) {
				sum += s.targets
			}
			Expect(sum).To(Equal(n))
		}
	})

	// Guards against usage fields that are read from the wrong column.
	It("reads the usage of a process", func() {
		before, err := usageOf(os.Getpid())
		Expect(err).NotTo(HaveOccurred())
		path := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(path, make([]byte, megabyte), 0o600)).To(Succeed())
		_, err = os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		after, err := usageOf(os.Getpid())
		Expect(err).NotTo(HaveOccurred())
		Expect(after.read - before.read).To(BeNumerically(">=", megabyte))
		Expect(after.written - before.written).To(BeNumerically(">=", megabyte))
		Expect(after.memory).To(BeNumerically(">", megabyte))
		Expect(after.cpu).To(BeNumerically("<", time.Hour))
	})

	// Guards against tables whose file differs from what is printed.
	It("prints a table and writes it", func() {
		folder := GinkgoT().TempDir()
		var out bytes.Buffer
		table := newTable("some", "a", "b")
		table.add(1.23456, 1500*time.Microsecond)
		Expect(New(Settings{Folder: folder, Seed: 3}, &out).print(table)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("some, seed 3"))
		file, err := os.Open(filepath.Join(folder, "some.csv"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(file.Close)
		rows, err := csv.NewReader(file).ReadAll()
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0]).To(Equal([]string{"a", "b", "load average"}))
		Expect(rows[1][:2]).To(Equal([]string{"1.235", "1.5"}))
	})

	// Guards against state that the compiler or the collector removes before it is measured.
	It("measures the heap that is kept", func() {
		Expect(heap(func() any { return make([]byte, 8*megabyte) })).To(BeNumerically("~", 8*megabyte, megabyte))
	})
})
