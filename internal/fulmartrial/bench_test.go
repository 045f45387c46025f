package fulmartrial

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarwire"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlease"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarmember"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrank"
)

// BenchmarkDuties measures the work of a daemon for each answer to a heartbeat
// (confirm, observe, codec) and for each step of the grant manager (rank), in fleets
// of up to 1500 daemons, the largest size that is planned for.
func BenchmarkDuties(b *testing.B) {
	for _, n := range []int{27, 250, 1500} {
		ids, members := make([]string, n), make([]fulmarrank.Member, n)
		view := fulmarmember.New(time.Second)
		now := time.Now()
		for i := range ids {
			ids[i] = fmt.Sprintf("daemon-%d", i)
			members[i] = fulmarrank.Member{ID: ids[i], DataCentre: dataCentres[i%len(dataCentres)]}
			view.Observe(now, fulmarmember.Peer{ID: ids[i], Incarnation: 1})
		}
		lease := fulmarlease.New("daemon-0", time.Second)
		lease.SetRoster(ids)
		run := func(name string, step func(i int)) {
			b.Run(fmt.Sprintf("%s/daemons=%d", name, n), func(b *testing.B) {
				for i := 0; b.Loop(); i++ {
					step(i)
				}
			})
		}
		run("confirm", func(i int) { lease.Confirm(ids[i%n], now.Add(time.Duration(i))) })
		run("observe", func(i int) {
			view.Observe(now.Add(time.Duration(i)), fulmarmember.Peer{ID: ids[i%n], Incarnation: 1})
		})
		run("rank", func(int) { fulmarrank.New(members).First("rota-board-1", "odda") })
	}
	codec, err := fulmarwire.New()
	if err != nil {
		b.Fatal(err)
	}
	s := &fulmarwire.Status{ID: "daemon-1", Incarnation: 1 << 40, Epoch: 1 << 16, ConfigVersion: 1 << 12, HeldTargets: targetIDs(5)}
	b.Run("codec/held=5", func(b *testing.B) {
		for b.Loop() {
			data, err := codec.Marshal(s)
			if err != nil {
				b.Fatal(err)
			}
			if err := codec.Unmarshal(data, new(fulmarwire.Status)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
