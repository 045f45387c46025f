package fulmarproof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmin"
	"github.com/fulmarbend/fulmarbend/internal/fulmarnetwork"
	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
)

// configWithWeight returns the initial configuration with another default weight.
func (t *testDeployment) configWithWeight(weight int) string {
	return strings.Replace(string(t.InitialConfig()), "weight = 1.0", fmt.Sprintf("weight = %d.0", weight), 1)
}

var _ = Describe("configuration", func() {
	// Guards I8 against lost updates: if two operators edit the same version, one put
	// succeeds and the other gets a conflict error that names the author of the first.
	It("of two operators who race", func(ctx SpecContext) {
		t := startDeployment(ctx)
		t.startVersionSampling()
		for round := range 6 {
			base := uint64(round + 1)
			t.awaitConfig(ctx, base, t.Daemons)
			var errs [2]error
			var done [2]fulmaradmin.PutResult
			var group sync.WaitGroup
			for i := range 2 {
				group.Go(func() {
					done[i], errs[i] = t.putConfig(ctx, t.Daemons[(round+2*i)%len(t.Daemons)], base, fmt.Sprint("operator-", i), t.configWithWeight(2+2*round+i))
				})
			}
			group.Wait()
			winner := 0
			if errs[0] != nil {
				winner = 1
			}
			Expect(errs[winner]).NotTo(HaveOccurred())
			Expect(done[winner].Version).To(Equal(base + 1))
			var conflict *fulmaradmin.Error
			Expect(errors.As(errs[1-winner], &conflict)).To(BeTrue(), "%v", errs[1-winner])
			Expect(conflict.Status).To(Equal(http.StatusConflict))
			Expect(conflict.CurrentAuthor).To(Equal(fmt.Sprint("operator-", winner)))
			stored, err := t.Platform.StoredConfig(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(stored.Text)).To(Equal(t.configWithWeight(2 + 2*round + winner)))
		}
		t.awaitConfig(ctx, 7, t.Daemons)
		t.checkVersions()
	})

	// Guards I8 against a daemon that serves callers under a configuration that was
	// replaced while the daemon was partitioned, both during the partition and after it.
	It("while a daemon is cut off", func(ctx SpecContext) {
		t := startDeployment(ctx)
		t.startVersionSampling()
		d := t.daemonsExcept(t.planner(ctx), t.Daemons[0])[0]
		t.SetLinkMode(fulmarnetwork.Stall, d.ID)
		small := strings.Replace(string(t.InitialConfig()), `body = "1MiB"`, `body = "1KiB"`, 1)
		_, err := t.putConfig(ctx, t.Daemons[0], 1, "ann", small)
		Expect(err).NotTo(HaveOccurred())
		accepted := time.Now()
		t.awaitConfig(ctx, 2, t.daemonsExcept(d))
		large := request{service: idempotentService, group: groups[0], key: "hot-0", path: "read", body: 2 << 10, attempt: 1}
		Expect(t.sendRequest(t.Daemons[0], large).Reason).To(Equal("too-large"))

		sleep(ctx, time.Until(accepted.Add(configStalenessBound)))
		for range 3 {
			c := t.sendRequest(d, large)
			Expect(c.Outcome+" "+c.Reason).To(Equal("not-run stale"), "answered %v after the configuration was accepted", time.Since(accepted))
		}
		// A daemon that wrongly uses the old configuration would serve the request as soon as it is reconnected.
		t.Network.Restore()
		Eventually(func() string {
			c := t.sendRequest(d, large)
			Expect(c.Outcome).To(Equal("not-run"), c.Reason)
			return c.Reason
		}, recoveryTimeout, 5*time.Millisecond).Should(Equal("too-large"))
		t.awaitConfig(ctx, 2, t.Daemons)
		t.checkVersions()
	})

	// Guards I1, I2, I5 and I8 against writes that take effect although their answer
	// is lost: writes of the table during moves, and of the configuration.
	It("and moves whose answers are lost", func(ctx SpecContext) {
		t := startUnderLoad(ctx)
		t.startVersionSampling()
		g, _ := t.victim(ctx, atMostOnceService)
		faultTime := time.Now()
		Expect(t.RegisterTarget(ctx, g, "leaving")).To(Succeed())
		faultCtx, stopFaults := context.WithCancel(ctx)
		defer stopFaults()
		var faults sync.WaitGroup
		faults.Go(func() {
			for faultCtx.Err() == nil {
				for _, f := range []fulmarplatform.Fault{{Lose: true}, {}} {
					_ = t.Platform.SetFault(faultCtx, f)
					sleep(faultCtx, 150*time.Millisecond)
				}
			}
		})
		for version := uint64(1); version < 4; version++ {
			t.awaitConfig(ctx, version, t.Daemons)
			done, err := t.putConfig(ctx, t.Daemons[version], version, "ann", t.configWithWeight(int(version)+1))
			Expect(err).NotTo(HaveOccurred())
			Expect(done.Version).To(Equal(version + 1))
		}
		t.awaitConfig(ctx, 4, t.Daemons)
		Eventually(func() (int, error) {
			table, err := t.OperatorClient(t.Daemons[0]).Table(ctx)
			n, ok := ownedSlots(table, atMostOnceService)[g.ID]
			if ok || err != nil {
				return n, err
			}
			return 0, nil
		}, recoveryTimeout, pollInterval).Should(BeZero())
		stopFaults()
		faults.Wait()
		t.setPlatformFault(ctx, fulmarplatform.Fault{})
		t.checkVersions()
		t.finishAndCheck(faultTime, 0) // no process is lost, and the design gives no bound for moves
	})
})
