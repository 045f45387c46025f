package fulmartrial

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmardedup"
	"github.com/fulmarbend/fulmarbend/pkg/fulmargrant"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlease"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarslot"
)

// heapBytes returns the bytes on the heap that stay reachable from the value
// that build returns.
func heapBytes(build func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return after.HeapAlloc - before.HeapAlloc
}

// measureSizes measures the bytes of a daemon's state and messages for different
// numbers of slots, peers, request ids and targets.
func (t *Trial) measureSizes(context.Context) error {
	table := newResultTable("size", "what", "parts", "bytes", "bytes for a part")
	add := func(name string, parts int, bytes uint64) {
		table.addRow(name, parts, bytes, float64(bytes)/float64(parts))
	}
	for _, targets := range []int{36, 1000} {
		for _, slots := range []int{1 << 8, 1 << 12, 1 << 16, 1 << 20} {
			made, err := evenSlotTable(slots, targets)
			if err != nil {
				return err
			}
			encoded, err := made.MarshalBinary()
			if err != nil {
				return errors.Wrap(err, "fulmartrial: encode table")
			}
			add(fmt.Sprintf("table encoded, %d targets, slots", targets), slots, uint64(len(encoded)))
			add(fmt.Sprintf("table on the heap, %d targets, slots", targets), slots, heapBytes(func() any {
				decoded, err := fulmarslot.Decode(encoded)
				if err != nil {
					return err
				}
				return decoded
			}))
		}
	}
	for _, peers := range []int{27, 1500} {
		add("membership view and quorum lease on the heap, peers", peers, heapBytes(func() any { return newPeerState(peers) }))
	}
	for _, ids := range []int{10_000, 200_000} {
		add("request memory without bodies on the heap, ids", ids, heapBytes(func() any { return newRequestMemory(ids) }))
	}
	codec, err := fulmarwire.New()
	if err != nil {
		return errors.Wrap(err, "fulmartrial: create codec")
	}
	for _, held := range []int{1, 10, 100} {
		b, err := codec.Marshal(&fulmarwire.Status{ID: "daemon-1", Incarnation: 1 << 40, Epoch: 1 << 16, ConfigVersion: 1 << 12, HeldTargets: targetIDs(held)})
		if err != nil {
			return errors.Wrap(err, "fulmartrial: encode heartbeat")
		}
		add("heartbeat encoded, targets held", held, uint64(len(b)))
	}
	for _, slots := range []int{1, 64, 1024} {
		g := fulmargrant.Grant{
			Holder: "daemon-1/1760000000000", Term: 12, Epoch: 1 << 16, Slots: make([]int, slots),
			Stamp: time.Duration(time.Now().UnixNano()), TTL: 600 * time.Millisecond,
		}
		for i := range g.Slots {
			g.Slots[i] = 10_000 + i
		}
		b, err := json.Marshal(g)
		if err != nil {
			return errors.Wrap(err, "fulmartrial: encode grant")
		}
		add("grant encoded, slots", slots, uint64(len(b)))
	}
	return t.writeTable(table)
}

func targetIDs(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("rota-board-%d", i+1)
	}
	return list
}

// evenSlotTable returns a table in which the targets own equal numbers of slots,
// give or take one.
func evenSlotTable(slots, targets int) (fulmarslot.Table, error) {
	changes := make([]fulmarslot.Change, 0, slots+targets)
	list := targetIDs(targets)
	for i, id := range list {
		changes = append(changes, fulmarslot.PutTarget(fulmarslot.Target{
			ID: id, Service: "rota-board", Address: "127.0.0.1:40000", DataCentre: dataCentres[i%len(dataCentres)], Fenced: true,
		}))
	}
	for i := range slots {
		changes = append(changes, fulmarslot.Assign("rota-board", i, list[i*7919%targets]))
	}
	slotTable, err := fulmarslot.New(map[string]int{"rota-board": slots}).With(changes...)
	return slotTable, errors.Wrap(err, "fulmartrial: create table")
}

// newPeerState returns a membership view and a quorum lease with n daemons.
func newPeerState(n int) any {
	view, lease := fulmarmember.New(time.Second), fulmarlease.New("daemon-0", time.Second)
	ids, now := make([]string, n), time.Now()
	for i := range ids {
		ids[i] = fmt.Sprintf("daemon-%d", i)
		view.Observe(now, fulmarmember.Peer{
			ID: ids[i], Incarnation: 1, Control: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			Data: fmt.Sprintf("127.0.0.1:%d", 30000+i), DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	lease.SetRoster(ids)
	for _, id := range ids {
		lease.Confirm(id, now)
	}
	return []any{view, lease}
}

// newRequestMemory returns a request memory that holds the ids of n served requests.
func newRequestMemory(n int) any {
	m := fulmardedup.New(fulmardedup.Settings{Retention: time.Hour, MaxIDs: n, MaxSkew: 100 * time.Millisecond})
	start := time.Now()
	m.Open(start, 0)
	for i := range n {
		at := start.Add(time.Second + time.Duration(i)*time.Microsecond)
		if v, e := m.Begin(at, 0, uint64(i), uuidAt(at, uint64(i))); v == fulmardedup.Run {
			m.Finish(e, fulmardedup.Answer{Status: 200})
		}
	}
	return m
}

// uuidAt returns a UUIDv7 with the timestamp at; n makes it unique.
func uuidAt(at time.Time, n uint64) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6], id[8] = 0x70, 0x80
	return id
}
