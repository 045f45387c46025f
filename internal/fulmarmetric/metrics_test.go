package fulmarmetric_test

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmetric"
	"github.com/fulmarbend/fulmarbend/pkg/fulmaroutcome"
)

func scrape(m *fulmarmetric.Metrics) string {
	GinkgoHelper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	Expect(w.Code).To(Equal(200))
	return w.Body.String()
}

var _ = Describe("Metrics", func() {
	var m *fulmarmetric.Metrics
	BeforeEach(func() {
		var err error
		m, err = fulmarmetric.New()
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against refusals without the labels by which operators find their cause.
	It("counts refusals and retries by reason", func() {
		m.Refused("rota-board", "g1", fulmaroutcome.NotRun, fulmaroutcome.QueueFull)
		m.Refused("rota-board", "g1", fulmaroutcome.Unknown, fulmaroutcome.Late)
		m.Retried(fulmaroutcome.Dial)
		text := scrape(m)
		Expect(text).To(ContainSubstring(`fulmarbend_refusals_total{group="g1",outcome="not-run",reason="queue-full",service="rota-board"} 1`))
		Expect(text).To(ContainSubstring(`fulmarbend_refusals_total{group="g1",outcome="unknown",reason="late",service="rota-board"} 1`))
		Expect(text).To(ContainSubstring(`fulmarbend_retries_total{reason="dial"} 1`))
		Expect(text).To(ContainSubstring(`fulmarbend_retries_total{reason="moving"} 0`))
	})

	// Guards against an arbitrary reason from a peer that becomes a label value, and against a reason
	// that is counted under an outcome that it does not belong to.
	It("counts invalid reasons separately", func() {
		m.Refused("s", "g", fulmaroutcome.NotRun, "other")
		m.Refused("s", "g", fulmaroutcome.NotRun, fulmaroutcome.Late)
		m.Retried(fulmaroutcome.QueueFull)
		text := scrape(m)
		Expect(text).To(ContainSubstring("fulmarbend_invalid_reasons_total 3"))
		Expect(text).NotTo(ContainSubstring("fulmarbend_refusals_total{"))
	})

	// Guards against the cardinality limit of the library, which merges label sets beyond the first 2,000.
	It("has a label set for each of many groups", func() {
		for i := range 2500 {
			m.Served("s", fmt.Sprint("g", i), time.Millisecond)
		}
		text := scrape(m)
		Expect(text).To(ContainSubstring(`fulmarbend_latency_seconds_count{group="g2499",service="s"} 1`))
		Expect(text).NotTo(ContainSubstring("overflow"))
	})

	// Guards against increments of one counter that do not add up, and a gauge that keeps its first value.
	It("has counters and gauges", func() {
		value := 1.0
		m.RegisterGauge("waiting", func() float64 { return value })
		m.Count("store.unavailable")
		m.Count("store.unavailable")
		value = 2
		text := scrape(m)
		Expect(text).To(ContainSubstring("fulmarbend_waiting 2"))
		Expect(text).To(ContainSubstring("fulmarbend_store_unavailable_total 2"))
		Expect(func() { m.Count("no spaces") }).To(Panic())
	})
})

func BenchmarkRefused(b *testing.B) {
	m, err := fulmarmetric.New()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Refused("rota-board", "g1", fulmaroutcome.NotRun, fulmaroutcome.QueueFull)
	}
}
