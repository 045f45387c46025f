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
	for _, n := range []int{131, 533, 2004} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			now, table := time.Unix(1000, 0), fulmarrange.New()
			targets := make([]fulmarrange.Incarnation, n)
			for i := range targets {
				targets[i] = fulmarrange.Incarnation{ID: fmt.Sprintf("i-%010x", i*7919), Born: 1}
				table = table.WithOwner(i*fulmarrange.MaxKey/n, (i+1)*fulmarrange.MaxKey/n-1, targets[i])
			}
			s := fulmarorder.New(now, fulmarrange.New(), modelTiming)
			s.Commit(table)
			for i := 0; b.Loop(); i++ {
				target := targets[i%n]
				if i%n == 0 {
					now = now.Add(modelTiming.RenewInterval)
				}
				o, _, ok := s.Next(now, target)
				if !ok {
					b.Fatal("no order is due")
				}
				s.EndSend(now, o, s.BeginSend(o), "", nil)
				s.Next(now, target)
			}
		})
	}
}
