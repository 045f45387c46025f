package fulmartrial

import (
	"context"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarplatform"
)

const megabyte = 1 << 20

// hardangerServices returns the services of the deployment Hardanger with the
// given total number of targets, divided in its ratio of 20:10:6. slots is the
// number of slots of the largest service.
func hardangerServices(targets, slots int) []service {
	desk, pay := targets*10/36, targets*6/36
	return []service{
		{name: "rota-board", targetCount: targets - desk - pay, slotCount: slots, idempotent: true},
		{name: "shift-desk", targetCount: desk, slotCount: 64},
		{name: "pay-desk", targetCount: pay, slotCount: 64},
	}
}

// measureIdle measures the CPU, memory and control traffic of daemons without
// requests for different numbers of daemons, targets and slots.
func (t *Trial) measureIdle(ctx context.Context) error {
	table := newResultTable("idle", "daemons", "targets", "slots", "CPU % of a core", "CPU % most", "resident MB", "resident MB most",
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
		spec := fleetSpec{daemonCount: c.daemons, services: hardangerServices(c.targets, c.slots), groups: []string{"ferries", "clinics"}, queueLength: 200}
		err := t.withFleet(ctx, spec, func(f *fleet) error {
			cost, err := f.measureIdleCost(ctx, t.settings.IdleDuration)
			if err != nil {
				return err
			}
			table.addRow(c.daemons, c.targets, c.slots, cost.cpu, cost.maxCPU, cost.residentMB, cost.maxResidentMB,
				cost.peerBytes, cost.peerMessages, cost.ioBytes, cost.storeCalls, cost.waitingWatches)
			return nil
		})
		if err != nil {
			table.addRow(c.daemons, c.targets, c.slots, "failed: "+err.Error())
		}
	}
	return t.writeTable(table)
}

// idleCost is the cost of a daemon without requests: the mean over all daemons,
// or the maximum in the fields named max.
type idleCost struct {
	cpu, maxCPU               float64 // percent of a CPU core
	residentMB, maxResidentMB float64
	peerBytes                 float64 // per second on control connections, in both directions
	peerMessages              float64 // per second, calls and answers in both directions
	ioBytes                   float64 // per second of all read and write calls
	storeCalls                float64 // per second, of the whole fleet
	waitingWatches            int64   // of the whole fleet
}

// reading holds the values of all counters at one time.
type reading struct {
	takenAt     time.Time
	metrics     []map[string]float64
	scrapedAt   []time.Time // time of each daemon's scrape
	usages      []usage
	storeCounts fulmarplatform.Counts
}

// takeReading reads the usage of the daemons, the call counts of the key-value
// service and the daemons' metrics. The metrics are read first at the beginning of
// a measurement and last at its end, so that the usage between two readings does
// not include the cost of the scrapes.
func (f *fleet) takeReading(ctx context.Context, scrapeFirst bool) (reading, error) {
	var r reading
	steps := []func() error{
		func() error {
			for _, d := range f.daemons {
				got, err := d.scrapeMetrics(ctx)
				if err != nil {
					return err
				}
				r.metrics, r.scrapedAt = append(r.metrics, got), append(r.scrapedAt, time.Now())
			}
			return nil
		},
		func() error {
			r.takenAt = time.Now()
			var err error
			if r.storeCounts, err = f.fetchStoreCounts(ctx); err != nil {
				return err
			}
			for _, d := range f.daemons {
				u, err := readUsage(d.process.PID())
				if err != nil {
					return err
				}
				r.usages = append(r.usages, u)
			}
			return nil
		},
	}
	if !scrapeFirst {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return r, err
		}
	}
	return r, nil
}

// measureIdleCost measures the cost of the daemons over the span.
func (f *fleet) measureIdleCost(ctx context.Context, span time.Duration) (idleCost, error) {
	a, err := f.takeReading(ctx, true)
	if err != nil {
		return idleCost{}, err
	}
	if err := sleep(ctx, span); err != nil {
		return idleCost{}, err
	}
	b, err := f.takeReading(ctx, false)
	if err != nil {
		return idleCost{}, err
	}
	return costBetween(a, b), nil
}

// costBetween returns the cost of a daemon between the readings a and b.
func costBetween(a, b reading) idleCost {
	var cost idleCost
	n, seconds := float64(len(a.usages)), b.takenAt.Sub(a.takenAt).Seconds()
	for i := range a.usages {
		cpu := 100 * (b.usages[i].cpu - a.usages[i].cpu).Seconds() / seconds
		memory := float64(b.usages[i].residentBytes) / megabyte
		cost.cpu, cost.maxCPU = cost.cpu+cpu/n, max(cost.maxCPU, cpu)
		cost.residentMB, cost.maxResidentMB = cost.residentMB+memory/n, max(cost.maxResidentMB, memory)
		cost.ioBytes += float64(b.usages[i].readBytes+b.usages[i].writtenBytes-a.usages[i].readBytes-a.usages[i].writtenBytes) / n / seconds
		// Scrapes of many daemons take a while, so each daemon has its own time span.
		span := b.scrapedAt[i].Sub(a.scrapedAt[i]).Seconds()
		increasePerSecond := func(name string) float64 { return (b.metrics[i][name] - a.metrics[i][name]) / n / span }
		cost.peerBytes += increasePerSecond("fulmarbend_peer_bytes_sent") + increasePerSecond("fulmarbend_peer_bytes_received")
		// Each call consists of one message in each direction.
		cost.peerMessages += 2 * (increasePerSecond("fulmarbend_peer_calls") + increasePerSecond("fulmarbend_peer_answers"))
	}
	before := a.storeCounts.Reads + a.storeCounts.Writes + a.storeCounts.Watches
	cost.storeCalls = float64(b.storeCounts.Reads+b.storeCounts.Writes+b.storeCounts.Watches-before) / seconds
	cost.waitingWatches = b.storeCounts.Waiting
	return cost
}
