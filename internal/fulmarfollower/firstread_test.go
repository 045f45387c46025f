package fulmarfollower_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// slowScans is a store that answers reads of all keys from a moment on only.
type slowScans struct {
	*fulmarmemory.Client
	answering chan struct{} // closed at that moment
}

func (s slowScans) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	if prefix == "" {
		select {
		case <-s.answering:
		case <-ctx.Done():
			return nil, fulmarkv.ErrUnavailable
		}
	}
	return s.Client.Scan(ctx, prefix)
}

// Guards against a panic of a daemon of a large fleet that is elected before it has read the store, when another one reports load, or a
// target that leaves, before the first read of the term has ended.
func TestReportBeforeFirstRead(t *testing.T) {
	for name, report := range map[string]fulmarleaderrpc.Report{
		"load":           {Targets: []fulmarleaderrpc.TargetLoad{{Target: "x", Answered: 1, ResponseTime: time.Millisecond}}},
		"leaving target": {Leaving: []fulmarleaderrpc.LeavingTarget{{Target: "x", Born: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(ctx context.Context, t *testing.T, g *WithT, store *fulmarmemory.Store) {
				// The daemons of so large a fleet read the store at times that are spread over minutes.
				fleetRecord, err := fulmarsnapshot.Fleet{Daemons: 30_000}.Encode()
				g.Expect(err).NotTo(HaveOccurred())
				store.Set(fulmarsnapshot.FleetKey, fleetRecord)
				slow := slowScans{fulmarmemory.NewClient(store), make(chan struct{})}
				f := &fleet{}
				view := f.startWithCPUShare(ctx, "a", 0.5, slow)
				time.Sleep(time.Second)
				g.Expect(leader(t, store)).To(Equal("a"))
				g.Expect(view.Get().Ready()).To(BeFalse())

				connection, err := f.dial(ctx, "a")
				g.Expect(err).NotTo(HaveOccurred())
				report.ID, report.Address = "b", "b"
				_, err = connection.Sync(ctx, &report)
				g.Expect(err).To(MatchError(fulmarleaderrpc.ErrNotLeader))
				close(slow.answering)
				time.Sleep(time.Second)
				g.Expect(view.Get().Ready()).To(BeTrue())
				g.Expect(leaving(view, "x")).To(Equal(len(report.Leaving) > 0), "the report counts")
			})
		})
	}
}
