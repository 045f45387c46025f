package fulmaradmission_test

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmission"
	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarlimitaudit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrate"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrotation"
)

// Figures of the simulation.
const (
	targetID      = "x"
	rpcTime       = 4 * time.Millisecond
	answerTime    = 60 * time.Millisecond
	updateTime    = 250 * time.Millisecond // between two exchanges of a daemon with its leader
	demandPerRate = 8.0                    // demand of all daemons for each unit of the first limit
)

// leader dispenses the permits of a simulated fleet.
type leader struct {
	board   *fulmarlimit.Board
	permits *fulmarpermit.Dispenser
}

func newLeader() *leader { return &leader{fulmarlimit.New(), fulmarpermit.New()} }

// fleet is a simulated fleet in front of one target.
type fleet struct {
	random   *rand.Rand
	audit    *fulmarlimitaudit.Audit
	arrivals []time.Time // of admitted requests, in order
	cold     coldPeriod

	mu       sync.Mutex
	leader   *leader        // nil while nobody leads
	daemons  []*daemon      // that run
	asked    map[int64]int  // requests by second of virtual time
	served   map[int64]int  // admitted ones of them
	joined   int            // daemons so far
	weights  []float64      // demand by daemon, of which the sum is 1
	priority int            // of all requests
	rate     float64        // demand of all daemons in requests per second
	group    sync.WaitGroup // of the goroutines of daemons
}

// daemon is a simulated daemon.
type daemon struct {
	fleet  *fleet
	index  int
	board  *fulmarlimit.Board
	gate   *fulmaradmission.Gate
	cutOff bool // from the leader
	stop   context.CancelFunc
}

// reachable returns the leader if the daemon reaches it.
func (d *daemon) reachable() *leader {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if d.cutOff {
		return nil
	}
	return d.fleet.leader
}

// AskPermits implements fulmaradmission.Leader.
func (d *daemon) AskPermits(ctx context.Context, r *fulmarleaderrpc.PermitRequest) (*fulmarleaderrpc.PermitAnswer, error) {
	if !fulmarclock.Sleep(ctx, rpcTime/2) {
		return nil, ctx.Err()
	}
	l := d.reachable()
	if l == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a := &fulmarleaderrpc.PermitAnswer{}
	for _, limit := range r.Limits {
		l.board.Record(limit.Unpack(time.Now()))
	}
	for _, ask := range r.Permits {
		p := fulmarleaderrpc.Permit{Granted: true}
		sources := fulmarrate.Least{l.board, d.coldness()}
		if ask.ColdRate > 0 {
			sources = append(sources, fulmarrate.Table{ask.Target: ask.ColdRate})
		}
		if rate, limited := sources.Rate(ask.Target); limited {
			p.Wait, p.Granted = l.permits.Take(time.Now(), rate, fulmarpermit.Request{Target: ask.Target, MaxWait: ask.MaxWait, Priority: ask.Priority})
		}
		a.Permits = append(a.Permits, p)
	}
	fulmarclock.Sleep(ctx, rpcTime/2)
	return a, ctx.Err()
}

// Count implements fulmaradmission.Metrics.
func (d *daemon) Count(string) {}

// exchange exchanges what the daemon and the leader know of limits.
func (d *daemon) exchange() bool {
	l := d.reachable()
	if l == nil {
		return false
	}
	for _, boards := range [][2]*fulmarlimit.Board{{d.board, l.board}, {l.board, d.board}} {
		for _, s := range boards[0].Statements() {
			boards[1].Record(s)
		}
	}
	return true
}

// start starts a daemon with the demand of the given index.
func (f *fleet) start(ctx context.Context, index int) {
	ctx, cancel := context.WithCancel(ctx)
	d := &daemon{fleet: f, index: index, board: fulmarlimit.New(), stop: cancel}
	f.mu.Lock()
	f.joined++
	id := fmt.Sprintf("d%d-%d", index, f.joined)
	seed := f.random.Uint64()
	f.daemons = append(f.daemons, d)
	f.mu.Unlock()
	d.gate = fulmaradmission.New(fulmaradmission.Deps{
		Limits: d.board, Rates: fulmarrate.Least{d.board, d.coldness()}, ColdRates: d.coldness(), TurnRates: fulmarrate.Least{d.board, d.coldTurns()}, Leader: d, Rotation: fulmarrotation.New(id), Daemons: func() int { return len(f.weights) }, Metrics: d,
		Log: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	f.group.Go(func() { d.gate.Run(ctx) })
	f.group.Go(func() {
		for fulmarclock.Sleep(ctx, updateTime) {
			d.exchange()
		}
	})
	f.group.Go(func() { d.sendRequests(ctx, rand.New(rand.NewPCG(seed, 0))) })
}

// sendRequests sends requests at random intervals, after the daemon has heard of its leader as far as there is one.
func (d *daemon) sendRequests(ctx context.Context, random *rand.Rand) {
	for !d.exchange() && fulmarclock.Sleep(ctx, updateTime) {
		continue
	}
	mean := float64(time.Second) / (d.fleet.rate * d.fleet.weights[d.index])
	for fulmarclock.Sleep(ctx, time.Duration(min(random.ExpFloat64()*mean, float64(time.Hour)))) {
		d.fleet.group.Go(func() { d.send(ctx) })
	}
}

// send sends a request if the gate admits it.
func (d *daemon) send(ctx context.Context) {
	f := d.fleet
	if !d.lists(time.Now()) {
		return
	}
	f.mu.Lock()
	f.asked[time.Now().Unix()]++
	f.mu.Unlock()
	if _, ok := d.gate.Admit(ctx, fulmarpermit.Request{Target: targetID, MaxWait: 50 * time.Millisecond, Priority: d.fleet.priority}); !ok || ctx.Err() != nil {
		return
	}
	sent := time.Now()
	f.mu.Lock()
	f.audit.Arrive(sent)
	f.arrivals = append(f.arrivals, sent)
	f.served[sent.Unix()]++
	f.mu.Unlock()
	fulmarclock.Sleep(ctx, answerTime/2)
	rate := f.audit.Limit()
	fulmarclock.Sleep(ctx, answerTime/2)
	d.board.Record(fulmarlimit.Statement{Target: targetID, Limited: !math.IsInf(rate, 1), Rate: rate, SentAt: sent, ReceivedAt: time.Now()})
}

// restart ends a daemon and starts another one with the same demand, which knows nothing.
func (f *fleet) restart(ctx context.Context) {
	f.mu.Lock()
	i := f.random.IntN(len(f.daemons))
	d := f.daemons[i]
	f.daemons = append(f.daemons[:i], f.daemons[i+1:]...)
	f.mu.Unlock()
	d.stop()
	f.start(ctx, d.index)
}

// replaceLeader lets nobody lead for a while and then another daemon, which knows what daemons tell it.
func (f *fleet) replaceLeader(ctx context.Context) {
	f.mu.Lock()
	f.leader = nil
	f.mu.Unlock()
	fulmarclock.Sleep(ctx, 2*time.Second)
	f.mu.Lock()
	f.leader = newLeader()
	f.mu.Unlock()
}

// cutOff cuts a third of the daemons off from the leader for a while.
func (f *fleet) cutOff(ctx context.Context) {
	set := func(cut bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, d := range f.daemons {
			d.cutOff = cut && d.index%3 == 0
		}
	}
	set(true)
	fulmarclock.Sleep(ctx, 6*time.Second)
	set(false)
}

// countIn returns the number of requests and of admitted ones between two times of the simulation.
func (f *fleet) countIn(start time.Time, from, to int) (asked, served int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := from; s < to; s++ {
		asked += f.asked[start.Unix()+int64(s)]
		served += f.served[start.Unix()+int64(s)]
	}
	return asked, served
}

// newFleet returns a fleet whose daemons have unequal demand: the first one has a quarter of it or more.
func newFleet(daemons int, rate float64, seed uint64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, uint64(daemons))), audit: fulmarlimitaudit.New(), leader: newLeader(), served: make(map[int64]int), asked: make(map[int64]int),
		rate: demandPerRate * rate, weights: make([]float64, daemons),
	}
	sum := 0.0
	for i := range f.weights {
		f.weights[i] = 1 / math.Pow(float64(i+1), 1.2)
		sum += f.weights[i]
	}
	for i := range f.weights {
		f.weights[i] /= sum
	}
	return f
}

// Guards against a fleet that sends more to a target than its limit while daemons restart, are cut off from the leader or
// get another one, and against one that leaves a limit unused.
func TestFleetKeepsLimit(t *testing.T) {
	for _, daemons := range []int{27, 100, 295} {
		for seed := range uint64(4) {
			rate := []float64{2, 8.2, 25, 60}[seed]
			t.Run(fmt.Sprintf("%d daemons, limit %v", daemons, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFleet(daemons, rate, seed)
					f.priority = int(seed) % 3
					ctx, cancel := context.WithCancel(t.Context())
					start := time.Now()
					for i := range daemons {
						f.start(ctx, i)
					}
					until := func(second float64) {
						fulmarclock.Sleep(ctx, time.Until(start.Add(time.Duration(second*float64(time.Second)))))
					}
					until(2)
					f.audit.SetLimit(time.Now(), rate)
					until(12)
					_, calm := f.countIn(start, 6, 12)
					for range daemons / 9 {
						f.restart(ctx)
						fulmarclock.Sleep(ctx, 20*time.Millisecond)
					}
					f.group.Go(func() { f.cutOff(ctx) })
					until(15)
					f.replaceLeader(ctx)
					until(24)
					f.audit.SetLimit(time.Now(), rate/3)
					until(34)
					f.group.Go(func() { f.cutOff(ctx) })
					f.replaceLeader(ctx)
					f.audit.SetLimit(time.Now(), rate)
					until(44)
					f.audit.SetLimit(time.Now(), math.Inf(1))
					until(52)
					asked, free := f.countIn(start, 48, 52)
					f.audit.SetLimit(time.Now(), rate)
					until(62)
					cancel()
					f.group.Wait()
					g.Expect(f.audit.Excess()).To(BeEmpty())
					g.Expect(float64(calm)).To(BeNumerically(">", 0.85*6*rate), "of a limit of %v in 6 s", rate)
					g.Expect(free).To(Equal(asked), "from 4 s after the end of the limit")
				})
			})
		}
	}
}
