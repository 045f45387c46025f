package fulmartrial

import (
	"context"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
)

const megabyte = 1 << 20

// hardanger returns the services of Hardanger with about the given number of
// targets in its ratio of 20:10:6, and slots of the largest service.
func hardanger(targets, slots int) []service {
	desk, pay := targets*10/36, targets*6/36
	return []service{
		{name: "rota-board", targets: targets - desk - pay, slots: slots, idempotent: true},
		{name: "shift-desk", targets: desk, slots: 64},
		{name: "pay-desk", targets: pay, slots: 64},
	}
}

// idle measures the control cost of a daemon at rest against the numbers of
// daemons, targets and slots.
func (t *Trial) idle(ctx context.Context) error {
	table := newTable("idle", "daemons", "targets", "slots", "CPU % of a core", "CPU % most", "resident MB", "resident MB most",
		"peer B/s", "peer messages/s", "all B/s", "store calls/s", "store watches waiting")
	type cell struct{ daemons, targets, slots int }
	var cells []cell
	for _, n := range t.settings.IdleDaemonCounts {
		cells = append(cells, cell{n, 36, 256})
	}
	if t.settings.VaryTargetsAndSlots {
		cells = append(cells, cell{9, 12, 256}, cell{9, 72, 256}, cell{9, 36, 1024}, cell{9, 36, 4096}, cell{9, 36, 16384})
	}
	for _, c := range cells {
		p := plan{daemons: c.daemons, services: hardanger(c.targets, c.slots), groups: []string{"ferries", "clinics"}, queue: 200}
		err := t.fleet(ctx, p, func(f *fleet) error {
			r, err := f.rest(ctx, t.settings.IdleDuration)
			if err != nil {
				return err
			}
			table.add(c.daemons, c.targets, c.slots, r.cpu, r.mostCPU, r.memory, r.mostMemory,
				r.peerBytes, r.messages, r.allBytes, r.storeCalls, r.waiting)
			return nil
		})
		if err != nil {
			table.add(c.daemons, c.targets, c.slots, "failed: "+err.Error())
		}
	}
	return t.print(table)
}

// rest is the cost of a daemon at rest: the mean, and the largest where named so.
type rest struct {
	cpu, mostCPU       float64 // percent of a core
	memory, mostMemory float64 // megabytes
	peerBytes          float64 // a second on control connections, both ways
	messages           float64 // a second, calls and answers both ways
	allBytes           float64 // a second of all read and write calls
	storeCalls         float64 // a second, of the whole fleet
	waiting            int64
}

// reading is the state of all counters at one moment.
type reading struct {
	at      time.Time
	metrics []map[string]float64
	scraped []time.Time // when each daemon's metrics were read
	usages  []usage
	store   fulmarplatform.Counts
}

// read takes a reading. The metrics are scraped on the far side of the span from
// the usages, so that the cost of the scrapes is left out.
func (f *fleet) read(ctx context.Context, first bool) (reading, error) {
	var r reading
	steps := []func() error{
		func() error {
			for _, m := range f.members {
				got, err := m.scrape(ctx)
				if err != nil {
					return err
				}
				r.metrics, r.scraped = append(r.metrics, got), append(r.scraped, time.Now())
			}
			return nil
		},
		func() error {
			r.at = time.Now()
			var err error
			if r.store, err = f.counts(ctx); err != nil {
				return err
			}
			for _, m := range f.members {
				u, err := usageOf(m.process.PID())
				if err != nil {
					return err
				}
				r.usages = append(r.usages, u)
			}
			return nil
		},
	}
	if !first {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return r, err
		}
	}
	return r, nil
}

// rest measures for the span.
func (f *fleet) rest(ctx context.Context, span time.Duration) (rest, error) {
	a, err := f.read(ctx, true)
	if err != nil {
		return rest{}, err
	}
	if err := pause(ctx, span); err != nil {
		return rest{}, err
	}
	b, err := f.read(ctx, false)
	if err != nil {
		return rest{}, err
	}
	return between(a, b), nil
}

// between returns the cost between two readings.
func between(a, b reading) rest {
	var r rest
	n, seconds := float64(len(a.usages)), b.at.Sub(a.at).Seconds()
	for i := range a.usages {
		cpu := 100 * (b.usages[i].cpu - a.usages[i].cpu).Seconds() / seconds
		memory := float64(b.usages[i].memory) / megabyte
		r.cpu, r.mostCPU = r.cpu+cpu/n, max(r.mostCPU, cpu)
		r.memory, r.mostMemory = r.memory+memory/n, max(r.mostMemory, memory)
		r.allBytes += float64(b.usages[i].read+b.usages[i].written-a.usages[i].read-a.usages[i].written) / n / seconds
		// Scrapes of many daemons take a while, so that each has its own span.
		span := b.scraped[i].Sub(a.scraped[i]).Seconds()
		grown := func(name string) float64 { return (b.metrics[i][name] - a.metrics[i][name]) / n / span }
		r.peerBytes += grown("fulmarbend_peer_bytes_sent") + grown("fulmarbend_peer_bytes_received")
		// Each call is a message in each direction.
		r.messages += 2 * (grown("fulmarbend_peer_calls") + grown("fulmarbend_peer_answers"))
	}
	before := a.store.Reads + a.store.Writes + a.store.Watches
	r.storeCalls = float64(b.store.Reads+b.store.Writes+b.store.Watches-before) / seconds
	r.waiting = b.store.Waiting
	return r
}
