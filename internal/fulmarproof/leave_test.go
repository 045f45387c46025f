package fulmarproof

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
)

func ready(d *fulmarfleet.Daemon) bool {
	resp, err := http.Get("http://" + d.Admin + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var _ = Describe("leaving", func() {
	// Guards I7 against callers and peers whose requests a shutdown cuts off, and
	// I5 against request memory that is lost at a handover.
	It("of a daemon by SIGTERM", func(ctx SpecContext) {
		t := setUp(ctx)
		_, d := t.victim(ctx, once)
		rest, own := t.usual(), t.usual()
		rest.Daemons, own.Daemons = nil, []string{d.Callers}
		for _, other := range t.others(d) {
			rest.Daemons = append(rest.Daemons, other.Callers)
		}
		for i := range own.Groups {
			own.Groups[i].Rate, own.Groups[i].LongShare = rate/4, 0.2
			rest.Groups[i].LongShare = 0.02
		}
		own.MaxAttempts = 1
		t.load(rest)
		through := t.load(own)
		t.awaitServed(before)
		fault := time.Now()
		d.Terminate()
		// The platform's load balancer sends no more callers to a daemon that is not ready.
		Eventually(func() bool { return ready(d) }, recoverWithin, time.Millisecond).Should(BeFalse())
		through.end()
		Eventually(d.Done(), recoverWithin).Should(BeClosed())
		Expect(d.ExitCode()).To(BeZero())
		t.finish(fault, unavailable)
		for _, c := range t.calls.all() {
			if c.Kind == "asked" {
				continue // sent before the load, while the first dispatchers began
			}
			Expect(c.Outcome+" "+c.Reason).NotTo(Or(HavePrefix("error"), HavePrefix("unknown")), "%+v", c)
		}
	})

	// Guards I6 against work that a leaving target begins, and I5 against moves of slots with work in flight.
	It("of a target", func(ctx SpecContext) {
		t := setUp(ctx)
		settings := t.usual()
		for i := range settings.Groups {
			settings.Groups[i].LongShare = 0.02
		}
		t.load(settings)
		t.awaitServed(before)
		g, _ := t.victim(ctx, once)
		fault := time.Now()
		Expect(t.ListTarget(ctx, g, "leaving")).To(Succeed())
		hold(ctx, drained)
		t.awaitAll(time.Now())
		hold(ctx, time.Second)
		events := t.finish(fault, unavailable)
		Expect(fulmarhistory.StartsAfter(events, g.ID, fault)).NotTo(BeEmpty(), "the target had no work that could have gone on")
		Expect(fulmarhistory.StartsAfter(events, g.ID, fault.Add(drained))).To(BeEmpty())
	})

	// Guards I8 and I5 against a daemon that acts without knowing the table, and
	// against one that never joins because its first read failed.
	It("and starting of a daemon while the platform is down", func(ctx SpecContext) {
		t := begin(ctx)
		_, d := t.victim(ctx, once)
		fault := time.Now()
		d.Kill()
		t.fault(ctx, fulmarplatform.Fault{Down: "refuse"})
		Expect(t.StartDaemon(ctx, d)).To(Succeed())
		Eventually(func() (uint64, error) {
			s, err := t.Operator(d).Status(ctx)
			return min(s.Epoch, s.ConfigVersion), err
		}, recoverWithin, pollEvery).ShouldNot(BeZero())
		t.awaitAll(time.Now())
		Expect(ready(d)).To(BeFalse(), "a daemon that the roster does not list is ready")
		t.fault(ctx, fulmarplatform.Fault{})
		Eventually(func() bool { return ready(d) }, recoverWithin, pollEvery).Should(BeTrue())
		t.awaitAll(time.Now())
		t.finish(fault, unavailable)
	})
})
