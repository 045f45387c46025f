package fulmarproof

import (
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarfleet"
	"github.com/fulmarbend/fulmarbend/internal/fulmarhistory"
)

// exitedTargets returns the number of targets whose process has exited.
func (t *testDeployment) exitedTargets() int {
	n := 0
	for _, g := range t.Targets {
		select {
		case <-g.Done():
			n++
		default:
		}
	}
	return n
}

var _ = Describe("crashing request", func() {
	fourTargets := func(s *fulmarfleet.Settings) {
		for i := range s.Services {
			s.Services[i].TargetCount = 4
		}
	}

	// Guards against a crashing request that brings down one target after another
	// when its caller retries it, and guards I4 and I5 for requests that run in
	// parallel on the same target.
	DescribeTable("costs at most 2 targets", func(ctx SpecContext, service string, fresh bool) {
		t := startUnderLoad(ctx, fourTargets)
		crash := request{service: service, group: groups[0], key: "hot-0", path: "crash", work: 100 * time.Millisecond, crash: true, timeout: 2 * time.Second}
		crash.id = uuid.Must(uuid.NewV7()).String()
		innocent := request{service: service, group: groups[1], key: "hot-0", path: "read", work: 400 * time.Millisecond, timeout: 2 * time.Second}
		faultTime := time.Now()
		var group sync.WaitGroup
		results := make([]fulmarhistory.Call, 2)
		for i := range results {
			group.Go(func() { results[i] = t.sendUntilServed(ctx, innocent, i) })
		}
		// The innocent requests are in flight on the target when the crashing request arrives.
		owner := t.keyOwner(ctx, service, "hot-0")
		Eventually(func() int { return t.grantState(ctx, owner).Running }, recoveryTimeout, 5*time.Millisecond).Should(BeNumerically(">=", 2))
		var answers []string
		for i := range 12 {
			if fresh {
				crash.id = uuid.Must(uuid.NewV7()).String()
			} else {
				crash.attempt = i + 1
			}
			c := t.sendRequest(t.Daemons[i%len(t.Daemons)], crash)
			answers = append(answers, c.Outcome+" "+c.Reason)
			Expect(c.Outcome).NotTo(Equal("served"))
			sleep(ctx, 300*time.Millisecond) // retry delay of the caller
		}
		group.Wait()
		AddReportEntry("answers to the crashing request", fmt.Sprint(answers))
		Expect(t.exitedTargets()).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2)), "%v", answers)
		for _, c := range results {
			Expect(c.Outcome).To(Equal("served"), c.Reason)
		}
		t.finishAndCheck(faultTime, 0) // no bound, as two targets may be lost in succession
		Expect(t.exitedTargets()).To(BeNumerically("<=", 2))
	},
		Entry("of an idempotent service", idempotentService, false),
		Entry("of an at-most-once service, under new ids", atMostOnceService, true),
		Entry("of an at-most-once service, under one id", atMostOnceService, false),
	)
})

// sendUntilServed retries a request until it is served. After an unknown outcome it
// uses a new id, as a caller does whose request may run twice.
func (t *testDeployment) sendUntilServed(ctx SpecContext, a request, first int) fulmarhistory.Call {
	var c fulmarhistory.Call
	for i := range 40 {
		if a.id == "" || c.Outcome == "unknown" {
			a.id, a.attempt = uuid.Must(uuid.NewV7()).String(), 0
		}
		a.attempt++
		if c = t.sendRequest(t.Daemons[(first+i)%len(t.Daemons)], a); c.Outcome == "served" {
			return c
		}
		sleep(ctx, 200*time.Millisecond) // retry delay of the caller
	}
	return c
}
