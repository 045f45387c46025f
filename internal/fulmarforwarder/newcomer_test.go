package fulmarforwarder

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// newcomerFleet is daemons in four data centres, whose choices are made without a network.
type newcomerFleet struct {
	forwarders []*Forwarder
	view       *fulmarview.View
	now        time.Time
}

func targetOf(i int) fulmarcatalog.Target {
	return fulmarcatalog.Target{ID: fmt.Sprintf("i-%010x", i*7919), Born: 1, Service: "free", Slots: 3, DC: fmt.Sprint(i % 4)}
}

func newNewcomerFleet(daemons, targets int) *newcomerFleet {
	f := &newcomerFleet{now: time.Unix(1000, 0)}
	clock := func() time.Time { return f.now }
	for i := range daemons {
		f.forwarders = append(f.forwarders, New(Deps{
			ID: fmt.Sprint("front-", i), DC: fmt.Sprint(i % 4), Views: fulmarview.New(), Balancer: fulmarbalancer.New(2, rand.NewPCG(1, uint64(i))), Limits: fulmarlimit.New(),
			Notices: fulmarnotice.New(), Crashes: fulmarcrash.New(), Log: slog.New(slog.DiscardHandler), Now: clock, Clock: clock,
			DrainTime: func() time.Duration { return time.Second }, EvacuationTime: func() time.Duration { return time.Second },
		}))
	}
	var list []fulmarcatalog.Target
	for i := range targets {
		list = append(list, targetOf(i))
	}
	f.view = &fulmarview.View{Catalog: fulmarcatalog.New(list), Daemons: daemons}
	return f
}

// play lets each daemon send requests without a key, a second in all, and returns the number that each target got.
func (f *newcomerFleet) play(each int) map[string]int {
	got := make(map[string]int)
	for range each {
		f.now = f.now.Add(time.Second / time.Duration(each))
		for _, d := range f.forwarders {
			x := &exchange{forwarder: d, view: f.view, request: &fulmarhttpserver.Request{ReceivedAt: f.now}, service: fulmarroute.Service{Name: "free"}, key: -1}
			if t, reason := x.chooseByLoad(); reason == "" {
				got[t.ID]++
				d.deps.Balancer.Release(t.ID)
				d.deps.Balancer.RecordServed(t.ID, 150*time.Millisecond)
			}
		}
	}
	return got
}

// Guards against targets that join under light load and get no request, as each daemon has targets that it prefers: with 300
// daemons and 1,000 targets, more than half of the newcomers got none. The daemons know of a newcomer a second after its entry,
// so it is to have a request a second later.
func TestNewcomersGetRequests(t *testing.T) {
	for _, size := range []struct{ daemons, targets, each int }{{27, 20, 9}, {106, 107, 7}, {144, 73, 4}, {144, 24, 1}, {300, 1000, 4}} {
		t.Run(fmt.Sprintf("%d daemons, %d targets", size.daemons, size.targets), func(t *testing.T) {
			g := NewWithT(t)
			f := newNewcomerFleet(size.daemons, size.targets)
			f.play(size.each)
			const newcomers = 40
			var joined []fulmarcatalog.Target
			for i := range newcomers {
				joined = append(joined, targetOf(size.targets+i))
			}
			f.view = &fulmarview.View{Catalog: f.view.Catalog.With(joined, nil), Daemons: size.daemons}
			got := f.play(size.each)
			without := 0
			for _, x := range joined {
				if got[x.ID] == 0 {
					without++
				}
			}
			g.Expect(without).To(BeNumerically("<=", 1), "newcomers without a request")
		})
	}
}
