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

// isReady reports whether the daemon's readiness endpoint answers 200.
func isReady(d *fulmarfleet.Daemon) bool {
	resp, err := http.Get("http://" + d.AdminAddress + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var _ = Describe("leaving", func() {
	// Guards I7 against a shutdown that aborts requests of callers and peers, and I5
	// against deduplication records that are lost at a handover.
	It("of a daemon by SIGTERM", func(ctx SpecContext) {
		t := startDeployment(ctx)
		_, d := t.victim(ctx, atMostOnceService)
		othersSettings, leavingSettings := t.defaultLoad(), t.defaultLoad()
		othersSettings.Daemons, leavingSettings.Daemons = nil, []string{d.CallerAddress}
		for _, other := range t.daemonsExcept(d) {
			othersSettings.Daemons = append(othersSettings.Daemons, other.CallerAddress)
		}
		for i := range leavingSettings.Groups {
			leavingSettings.Groups[i].Rate, leavingSettings.Groups[i].LongShare = groupRate/4, 0.2
			othersSettings.Groups[i].LongShare = 0.02
		}
		leavingSettings.MaxAttempts = 1
		t.startLoad(othersSettings)
		leavingLoad := t.startLoad(leavingSettings)
		t.awaitServedCalls(servedBeforeFault)
		faultTime := time.Now()
		d.Terminate()
		// The platform's load balancer sends no more callers to a daemon that is not ready.
		Eventually(func() bool { return isReady(d) }, recoveryTimeout, time.Millisecond).Should(BeFalse())
		leavingLoad.stop()
		Eventually(d.Done(), recoveryTimeout).Should(BeClosed())
		Expect(d.ExitCode()).To(BeZero())
		t.finishAndCheck(faultTime, unavailabilityBound)
		for _, c := range t.recorder.allCalls() {
			if c.Kind == "asked" {
				continue // sent before the load, while the first dispatchers were starting
			}
			Expect(c.Outcome+" "+c.Reason).NotTo(Or(HavePrefix("error"), HavePrefix("unknown")), "%+v", c)
		}
	})

	// Guards I6 against a leaving target that still starts work after its drain bound,
	// and I5 against moves of slots with work in flight.
	It("of a target", func(ctx SpecContext) {
		t := startDeployment(ctx)
		settings := t.defaultLoad()
		for i := range settings.Groups {
			settings.Groups[i].LongShare = 0.02
		}
		t.startLoad(settings)
		t.awaitServedCalls(servedBeforeFault)
		g, _ := t.victim(ctx, atMostOnceService)
		faultTime := time.Now()
		Expect(t.RegisterTarget(ctx, g, "leaving")).To(Succeed())
		sleep(ctx, drainBound)
		t.awaitAllKeysServed(time.Now())
		sleep(ctx, time.Second)
		events := t.finishAndCheck(faultTime, unavailabilityBound)
		Expect(fulmarhistory.StartsAfter(events, g.ID, faultTime)).NotTo(BeEmpty(), "the target started no work after it was marked as leaving")
		Expect(fulmarhistory.StartsAfter(events, g.ID, faultTime.Add(drainBound))).To(BeEmpty())
	})

	// Guards I8 and I5 against a daemon that serves before it has read the table, and
	// against one that never joins because its first read failed.
	It("and starting of a daemon while the platform is down", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		_, d := t.victim(ctx, atMostOnceService)
		faultTime := time.Now()
		d.Kill()
		t.setPlatformFault(ctx, fulmarplatform.Fault{Down: "refuse"})
		Expect(t.StartDaemon(ctx, d)).To(Succeed())
		Eventually(func() (uint64, error) {
			s, err := t.OperatorClient(d).Status(ctx)
			return min(s.Epoch, s.ConfigVersion), err
		}, recoveryTimeout, pollInterval).ShouldNot(BeZero())
		t.awaitAllKeysServed(time.Now())
		Expect(isReady(d)).To(BeFalse(), "a daemon that the roster does not list is ready")
		t.setPlatformFault(ctx, fulmarplatform.Fault{})
		Eventually(func() bool { return isReady(d) }, recoveryTimeout, pollInterval).Should(BeTrue())
		t.awaitAllKeysServed(time.Now())
		t.finishAndCheck(faultTime, unavailabilityBound)
	})
})
