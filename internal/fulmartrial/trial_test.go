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
	// Guards against counting a metric with labels as one without.
	It("reads metrics without labels", func() {
		got := parseMetrics("# HELP a text 7\n# TYPE fulmarbend_epoch gauge\nfulmarbend_epoch 4\nfulmarbend_refusals_total{reason=\"x\"} 9\nfulmarbend_peer_bytes_sent 1.5e+06\n")
		Expect(got).To(HaveKeyWithValue("fulmarbend_epoch", 4.0))
		Expect(got).To(HaveKeyWithValue("fulmarbend_peer_bytes_sent", 1.5e6))
		Expect(got).NotTo(HaveKey("fulmarbend_refusals_total"))
	})

	// Guards against counting a version as missing when a daemon skipped it for a
	// later one, and against taking the time of an earlier version.
	It("finds when a version came into force", func() {
		log := "time=2026-01-02T03:04:05.000Z level=INFO msg=\"configuration in force\" instance=a version=1 author=x\n" +
			"time=2026-01-02T03:04:06.250Z level=INFO msg=\"configuration in force\" instance=a version=3 author=x\n"
		at, ok := adoptionTime(log, 2)
		Expect(ok).To(BeTrue())
		Expect(at).To(BeTemporally("==", time.Date(2026, 1, 2, 3, 4, 6, 250_000_000, time.UTC)))
		_, ok = adoptionTime(log, 4)
		Expect(ok).To(BeFalse())
	})

	// Guards against reporting outages of reads as those of at-most-once requests,
	// and the other way round.
	It("measures outages of reads and of at-most-once requests separately", func() {
		u := measureOutages([]fulmarhistory.Call{
			call("a", "served", false, 0, 10), call("a", "not-run", false, 100, 110), call("a", "served", false, 180, 200),
			call("b", "served", true, 0, 10), call("b", "unknown", true, 100, 110), call("b", "served", true, 380, 400),
		})
		Expect(u.longestRead).To(Equal(100 * time.Millisecond))
		Expect(u.longestAtMostOnce).To(Equal(300 * time.Millisecond))
		Expect(u.longestWithoutUnknown).To(Equal(100 * time.Millisecond))
		Expect(u.unserved).To(BeFalse())
		Expect(u.notServed).To(Equal(2))
		Expect(u.unknown).To(Equal(1))
	})

	// Guards against missing an outage during which requests wait in a daemon until
	// their key is served again, and against missing keys that are never served again.
	It("counts waiting requests and keys that are not served again", func() {
		longest, unserved := longestOutage([]fulmarhistory.Call{
			call("a", "served", false, 0, 10), call("a", "served", false, 100, 900), call("a", "served", false, 500, 900),
			call("b", "served", false, 0, 1000), call("b", "served", false, 200, 210),
		})
		Expect(longest).To(Equal(800 * time.Millisecond))
		Expect(unserved).To(BeFalse())
		longest, unserved = longestOutage([]fulmarhistory.Call{
			call("a", "served", false, 0, 10), call("a", "not-run", false, 100, 110), call("b", "served", false, 0, 400),
		})
		Expect(longest).To(Equal(400 * time.Millisecond))
		Expect(unserved).To(BeTrue())
	})

	// Guards against counting answers and refusals of another window.
	It("summarises a window", func() {
		s := summarise([]fulmarhistory.Call{
			call("a", "served", false, 900, 1100), call("a", "served", false, 1200, 1260),
			call("a", "not-run", false, 1500, 1500), call("a", "served", false, 1900, 2100),
		}, time.Unix(0, 0), time.Second, 2*time.Second)
		Expect(s.offeredRate).To(Equal(3.0))
		Expect(s.servedRate).To(Equal(2.0))
		Expect(s.p99).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
		Expect(s.reasons).To(Equal("not-run =1"))
	})

	// Guards against a cost that includes the time before the first reading, or
	// only one direction of the traffic, or that divides the traffic by a time
	// span other than that between the two scrapes of the daemon.
	It("computes the cost between two readings", func() {
		at := time.Unix(0, 0)
		a := reading{takenAt: at, scrapedAt: []time.Time{at.Add(-time.Second)}, metrics: []map[string]float64{{"fulmarbend_peer_bytes_sent": 100, "fulmarbend_peer_calls": 5}}, usages: []usage{{cpu: time.Second, readBytes: 10}}, storeCounts: fulmarplatform.Counts{Reads: 7}}
		b := reading{takenAt: at.Add(2 * time.Second), scrapedAt: []time.Time{at.Add(3 * time.Second)}, metrics: []map[string]float64{{"fulmarbend_peer_bytes_sent": 300, "fulmarbend_peer_bytes_received": 100, "fulmarbend_peer_calls": 7, "fulmarbend_peer_answers": 4}}, usages: []usage{{cpu: 1100 * time.Millisecond, residentBytes: 3 * megabyte, readBytes: 20, writtenBytes: 30}}, storeCounts: fulmarplatform.Counts{Reads: 9, Writes: 2}}
		r := costBetween(a, b)
		Expect(r.cpu).To(BeNumerically("~", 5, 1e-9))
		Expect(r.residentMB).To(Equal(3.0))
		Expect(r.peerBytes).To(Equal(75.0))
		Expect(r.peerMessages).To(Equal(3.0))
		Expect(r.ioBytes).To(Equal(20.0))
		Expect(r.storeCalls).To(Equal(2.0))
	})

	// Guards against a total number of targets that differs from the requested one.
	It("divides targets in the ratio of Hardanger", func() {
		got := hardangerServices(36, 256)
		Expect([]int{got[0].targetCount, got[1].targetCount, got[2].targetCount}).To(Equal([]int{20, 10, 6}))
		for _, n := range []int{12, 72} {
			sum := 0
			for _, s := range hardangerServices(n, 256) {
				sum += s.targetCount
			}
			Expect(sum).To(Equal(n))
		}
	})

	// Guards against reading usage from the wrong fields of /proc.
	It("reads the usage of a process", func() {
		before, err := readUsage(os.Getpid())
		Expect(err).NotTo(HaveOccurred())
		path := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(path, make([]byte, megabyte), 0o600)).To(Succeed())
		_, err = os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		after, err := readUsage(os.Getpid())
		Expect(err).NotTo(HaveOccurred())
		Expect(after.readBytes - before.readBytes).To(BeNumerically(">=", megabyte))
		Expect(after.writtenBytes - before.writtenBytes).To(BeNumerically(">=", megabyte))
		Expect(after.residentBytes).To(BeNumerically(">", megabyte))
		Expect(after.cpu).To(BeNumerically("<", time.Hour))
	})

	// Guards against a CSV file that differs from the printed table.
	It("prints a table and writes it as CSV", func() {
		folder := GinkgoT().TempDir()
		var out bytes.Buffer
		table := newResultTable("some", "a", "b")
		table.addRow(1.23456, 1500*time.Microsecond)
		Expect(New(Settings{Folder: folder, Seed: 3}, &out).writeTable(table)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("some, seed 3"))
		file, err := os.Open(filepath.Join(folder, "some.csv"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(file.Close)
		rows, err := csv.NewReader(file).ReadAll()
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0]).To(Equal([]string{"a", "b", "load average"}))
		Expect(rows[1][:2]).To(Equal([]string{"1.235", "1.5"}))
	})

	// Guards against values that the compiler or the garbage collector removes
	// before they are measured.
	It("measures the heap that a value retains", func() {
		Expect(heapBytes(func() any { return make([]byte, 8*megabyte) })).To(BeNumerically("~", 8*megabyte, megabyte))
	})
})
