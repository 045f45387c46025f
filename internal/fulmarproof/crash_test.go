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

func (t *trial) ended() int {
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
	four := func(s *fulmarfleet.Settings) {
		for i := range s.Services {
			s.Services[i].Targets = 4
		}
	}

	// Guards against a request that takes one target after the other when its
	// caller sends it again, and I4 and I5 for requests that ran beside it.
	DescribeTable("costs at most 2 targets", func(ctx SpecContext, service string, fresh bool) {
		t := begin(ctx, four)
		crash := ask{service: service, group: groups[0], key: "hot-0", path: "crash", work: 100 * time.Millisecond, crash: true, timeout: 2 * time.Second}
		crash.id = uuid.Must(uuid.NewV7()).String()
		innocent := ask{service: service, group: groups[1], key: "hot-0", path: "read", work: 400 * time.Millisecond, timeout: 2 * time.Second}
		fault := time.Now()
		var group sync.WaitGroup
		results := make([]fulmarhistory.Call, 2)
		for i := range results {
			group.Go(func() { results[i] = t.sendAgain(ctx, innocent, i) })
		}
		// The innocent requests are in flight at the target when the crash arrives.
		owner := t.owner(ctx, service, "hot-0")
		Eventually(func() int { return t.state(ctx, owner).Running }, recoverWithin, 5*time.Millisecond).Should(BeNumerically(">=", 2))
		var answers []string
		for i := range 12 {
			if fresh {
				crash.id = uuid.Must(uuid.NewV7()).String()
			} else {
				crash.attempt = i + 1
			}
			c := t.send(t.Daemons[i%len(t.Daemons)], crash)
			answers = append(answers, c.Outcome+" "+c.Reason)
			Expect(c.Outcome).NotTo(Equal("served"))
			hold(ctx, 300*time.Millisecond) // the caller's pause
		}
		group.Wait()
		AddReportEntry("answers to the crashing request", fmt.Sprint(answers))
		Expect(t.ended()).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2)), "%v", answers)
		for _, c := range results {
			Expect(c.Outcome).To(Equal("served"), c.Reason)
		}
		t.finish(fault, 0) // two losses in a row
		Expect(t.ended()).To(BeNumerically("<=", 2))
	},
		Entry("of an idempotent service", reads, false),
		Entry("of an at-most-once service, under new ids", once, true),
		Entry("of an at-most-once service, under one id", once, false),
	)
})

// sendAgain sends a request until it is served, with a new id after an outcome
// that leaves open whether it ran, as a caller does who may run it twice.
func (t *trial) sendAgain(ctx SpecContext, a ask, first int) fulmarhistory.Call {
	var c fulmarhistory.Call
	for i := range 40 {
		if a.id == "" || c.Outcome == "unknown" {
			a.id, a.attempt = uuid.Must(uuid.NewV7()).String(), 0
		}
		a.attempt++
		if c = t.send(t.Daemons[(first+i)%len(t.Daemons)], a); c.Outcome == "served" {
			return c
		}
		hold(ctx, 200*time.Millisecond) // the caller's pause
	}
	return c
}
