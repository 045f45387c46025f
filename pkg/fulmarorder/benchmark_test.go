package fulmarorder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarorder"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
)

// BenchmarkNext measures the choice of an order, its outcome, and the check that no other one is due, for one of many targets.
func BenchmarkNext(b *testing.B) {
	for _, c := range []struct {
		targets  int
		extended bool // grants last longer than normal, as with many ranges
	}{{131, false}, {533, false}, {2004, false}, {2004, true}} {
		n := c.targets
		b.Run(fmt.Sprint(n, " targets, extended ", c.extended), func(b *testing.B) {
			now, table := time.Unix(1000, 0), fulmarrange.New()
			targets := make([]fulmarrange.Incarnation, n)
			for i := range targets {
				targets[i] = fulmarrange.Incarnation{ID: fmt.Sprintf("i-%010x", i*7919), Born: 1}
				table = table.WithOwner(i*fulmarrange.MaxKey/n, (i+1)*fulmarrange.MaxKey/n-1, targets[i])
			}
			s := fulmarorder.New(now, fulmarrange.New(), modelTiming)
			s.Commit(table)
			if c.extended {
				s.SetPace(modelTiming.RenewInterval, 2*modelGrantTTL)
			}
			for i := 0; b.Loop(); i++ {
				target := targets[i%n]
				if i%n == 0 {
					now = now.Add(modelTiming.RenewInterval)
				}
				o, _, ok := s.Next(now, target)
				if !ok {
					b.Fatal("no order is due")
				}
				s.EndSend(now, o, s.BeginSend(o), fulmarorder.Reply{Connection: 1}, nil)
				s.Next(now, target)
			}
		})
	}
}

// BenchmarkCommit measures a new table in which a quarter of the keys have other owners.
func BenchmarkCommit(b *testing.B) {
	const n = 2000
	now, table := time.Unix(1000, 0), fulmarrange.New()
	targets := make([]fulmarrange.Incarnation, n)
	for i := range targets {
		targets[i] = fulmarrange.Incarnation{ID: fmt.Sprintf("i-%010x", i*7919), Born: 1}
		table = table.WithOwner(i*fulmarrange.MaxKey/n, (i+1)*fulmarrange.MaxKey/n-1, targets[i])
	}
	next := table
	for i := range n / 4 {
		next = next.WithOwner(i*fulmarrange.MaxKey/n, (i+1)*fulmarrange.MaxKey/n-1, targets[n-1-i])
	}
	s := fulmarorder.New(now, fulmarrange.New(), modelTiming)
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s.Commit(table)
		for _, target := range targets {
			s.Next(now, target)
		}
		b.StartTimer()
		s.Commit(next)
	}
}
