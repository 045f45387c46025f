package fulmarforwarder

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarhttpserver"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarhedge"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarnotice"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarroute"
)

// BenchmarkChoice measures the choice among 900 targets, of which a third may have said something of themselves.
func BenchmarkChoice(b *testing.B) {
	const targets, noticed = 900, 300
	for _, c := range []struct {
		name   string
		notice func(d *Deps, t fulmarcatalog.Target)
	}{
		{"none", func(*Deps, fulmarcatalog.Target) {}},
		{"limited", func(d *Deps, t fulmarcatalog.Target) {
			d.Limits.Record(fulmarlimit.Statement{Target: t.ID, Limited: true, Rate: 5, ReceivedAt: time.Now()})
		}},
		{"leaving", func(d *Deps, t fulmarcatalog.Target) { d.Notices.RecordLeaving(t.Incarnation(), time.Now()) }},
		{"paused", func(d *Deps, t fulmarcatalog.Target) {
			d.Notices.RecordPause(t.Incarnation(), time.Now().Add(time.Hour))
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			var list []fulmarcatalog.Target
			for i := range targets {
				list = append(list, fulmarcatalog.Target{ID: fmt.Sprintf("i-%010x", i*7919), Born: 1, Service: "free", Slots: 3, DC: "a"})
			}
			d := Deps{
				ID: "d", DC: "a", Views: fulmarview.New(), Balancer: fulmarbalancer.New(2, rand.NewPCG(1, 2)), Limits: fulmarlimit.New(),
				Notices: fulmarnotice.New(), Crashes: fulmarcrash.New(), Hedger: fulmarhedge.New(fulmarhedge.Policy{}), Log: slog.New(slog.DiscardHandler), Now: time.Now, Clock: time.Now,
				DrainTime: func() time.Duration { return time.Second },
			}
			for _, t := range list[:noticed] {
				c.notice(&d, t)
			}
			f := New(d)
			request := &fulmarhttpserver.Request{ReceivedAt: time.Now()}
			view := &fulmarview.View{Catalog: fulmarcatalog.New(list)}
			b.ReportAllocs()
			for b.Loop() {
				x := &exchange{forwarder: f, view: view, request: request, service: fulmarroute.Service{Name: "free"}, key: -1}
				t, reason := x.chooseByLoad()
				if reason != "" {
					b.Fatal(reason)
				}
				d.Balancer.Release(t.ID)
			}
		})
	}
}
