package fulmarkvforwarder_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarkvforwarder"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
)

// ignored ignores the events of an era.
type ignored struct{}

func (ignored) EraRejected(string)                    {}
func (ignored) EraBegan(fulmarera.Era, fulmarera.Era) {}

// formerBuild is a daemon that forwards calls and states no era.
type formerBuild struct{ peer }

func (d formerBuild) Forward(ctx context.Context, c *fulmarleaderrpc.StoreCall) (*fulmarleaderrpc.StoreAnswer, error) {
	a, err := d.peer.Forward(ctx, c)
	a.Era = 0
	return a, err
}

// Guards against a daemon without a store of its own that learns of a restore only when its lease has ended, and against forwarded
// answers of a former or an unknown era that are used.
func TestEraOfForwardedAnswer(t *testing.T) {
	for _, c := range []struct {
		name      string
		own, peer fulmarera.Era
		wrap      func(peer) fulmarkvforwarder.Daemon
		used      bool
	}{
		{"the same era", 4, 4, func(p peer) fulmarkvforwarder.Daemon { return p }, true},
		{"a later era", 4, 5, func(p peer) fulmarkvforwarder.Daemon { return p }, true},
		{"a former era", 5, 4, func(p peer) fulmarkvforwarder.Daemon { return p }, false},
		{"a daemon of an earlier build", 4, 4, func(p peer) fulmarkvforwarder.Daemon { return formerBuild{p} }, false},
		{"a daemon of an earlier build, without eras", 0, 0, func(p peer) fulmarkvforwarder.Daemon { return formerBuild{p} }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, log := NewWithT(t), slog.New(slog.DiscardHandler)
			shared := fulmarmemory.New(time.Now)
			shared.SetEra(c.peer)
			shared.Set("k", []byte("v"))
			eras := func(e fulmarera.Era) *fulmarera.Tracker {
				tracker := fulmarera.New(ignored{}, time.Now)
				g.Expect(tracker.Adopt(e)).To(Succeed())
				return tracker
			}
			own, others := eras(c.own), eras(c.peer)
			x := fulmarkvforwarder.New(fulmarmemory.NewClient(shared).WithEras(others), nil, noContacts, noContacts, others, log)
			direct := fulmarmemory.NewClient(shared).WithEras(own)
			direct.SetFault(fulmarmemory.Rejected)
			store := fulmarkvforwarder.New(direct, func(context.Context, string) (fulmarkvforwarder.Daemon, error) {
				return c.wrap(peer{x}), nil
			}, func() []string { return []string{"x"} }, noContacts, own, log)
			items, err := store.Scan(callContext(t), "k")
			if !c.used {
				g.Expect(err).To(MatchError(fulmarkv.ErrUnavailable))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(items[0].Revision.Era()).To(Equal(c.peer))
			g.Expect(own.Current().Era).To(Equal(c.peer))
		})
	}
}
