package fulmaradmission_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrate"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarwarmup"
)

// Figures of cold targets of the users' deployments.
const (
	takenRate = 5.4
	coldTime  = 3 * time.Second
	downTime  = 2 * time.Second // before a target comes back cold
	// maxNewsTime is the longest time until a daemon, which may be cut off from the leader, has read a target's entry.
	maxNewsTime = time.Second
)

var coldRule = fulmarwarmup.Rule{Over: 1.5, Slack: 8}

// coldPeriod is the time in which the target of a simulated fleet is cold, after it was down for downTime.
type coldPeriod struct{ from, until time.Time }

// coldNews is what a daemon knows of a cold target.
type coldNews struct {
	daemon *daemon
	rate   float64
}

// Rate implements fulmarrate.Source.
func (c coldNews) Rate(string) (float64, bool) {
	now, period := time.Now(), c.daemon.fleet.coldPeriod()
	return c.rate, !now.Before(period.from) && now.Before(period.until)
}

func (d *daemon) coldness() fulmarrate.Source  { return coldNews{d, coldRule.PermitRate(takenRate)} }
func (d *daemon) coldTurns() fulmarrate.Source { return coldNews{d, coldRule.TurnRate(takenRate)} }

// lists reports whether the target is in the daemon's view: it learns of its return at a time of its own.
func (d *daemon) lists(now time.Time) bool {
	period := d.fleet.coldPeriod()
	news := maxNewsTime * time.Duration(d.index) / time.Duration(len(d.fleet.weights))
	return now.Before(period.from.Add(-downTime)) || !now.Before(period.from.Add(news))
}

func (f *fleet) coldPeriod() coldPeriod {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold
}

// worstSecond returns the largest number of requests that arrived within a second in a period.
func (f *fleet) worstSecond(p coldPeriod) (most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := 0
	for i, at := range f.arrivals {
		if at.Before(p.from) || !at.Before(p.until) {
			first = i + 1
			continue
		}
		for at.Sub(f.arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// servedIn returns the number of requests that arrived in a period.
func (f *fleet) servedIn(p coldPeriod) (served int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.arrivals {
		if !at.Before(p.from) && at.Before(p.until) {
			served++
		}
	}
	return served
}

// Guards against a fleet that sends more to a target that has come back cold than it takes in any second, while the leader is
// replaced, daemons are cut off from it or restart; and against one that withholds requests after the warm-up, or all before.
func TestFleetKeepsRateOfColdTarget(t *testing.T) {
	for _, daemons := range []int{27, 144, 300} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d daemons, seed %d", daemons, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFleet(daemons, takenRate, seed)
					ctx, cancel := context.WithCancel(t.Context())
					for i := range daemons {
						f.start(ctx, i)
					}
					fulmarclock.Sleep(ctx, time.Second)
					allowed := takenRate*coldRule.Over + coldRule.Slack
					for round := range 16 {
						from := time.Now().Add(downTime)
						p := coldPeriod{from, from.Add(coldTime)}
						f.mu.Lock()
						f.cold = p
						f.mu.Unlock()
						if round%4 != 0 { // the first round of four has no fault
							f.group.Go(func() {
								fulmarclock.Sleep(ctx, downTime-time.Second+time.Duration(round)*200*time.Millisecond)
								f.replaceLeader(ctx)
							})
						}
						if round%4 == 2 {
							f.group.Go(func() { f.cutOff(ctx) })
						}
						fulmarclock.Sleep(ctx, downTime+time.Second)
						if round%4 == 3 {
							for range daemons / 9 {
								f.restart(ctx)
							}
						}
						fulmarclock.Sleep(ctx, time.Until(p.until))
						g.Expect(float64(f.worstSecond(p))).To(BeNumerically("<=", allowed), "round %d", round)
						if round%4 == 0 {
							g.Expect(float64(f.servedIn(p))).To(BeNumerically(">", 0.6*takenRate*(coldTime-maxNewsTime).Seconds()), "round %d", round)
						}
						fulmarclock.Sleep(ctx, 5*time.Second)
						warm := coldPeriod{p.until.Add(time.Second), p.until.Add(3 * time.Second)}
						g.Expect(float64(f.servedIn(warm))).To(BeNumerically(">", 0.7*demandPerRate*takenRate*2), "round %d, once it is warm", round)
					}
					cancel()
					f.group.Wait()
				})
			})
		}
	}
}
