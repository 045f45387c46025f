package fulmarfollower_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmarclock"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/internal/fulmarmemory"
	"github.com/fulmarbend/fulmarbend/internal/fulmarsnapshot"
	"github.com/fulmarbend/fulmarbend/internal/fulmarview"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarkv"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
)

// lateScans is a store whose reads of all keys get no answer while late is set; all other calls do.
type lateScans struct {
	*fulmarmemory.Client
	late atomic.Bool
}

func (s *lateScans) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	if prefix == "" && s.late.Load() {
		<-ctx.Done()
		return nil, fulmarkv.ErrUnavailable
	}
	return s.Client.Scan(ctx, prefix)
}

// configVersion returns the version of the configuration in a view, 0 for none.
func configVersion(v *fulmarview.Holder) uint64 {
	if routes := v.Get().Routes; routes != nil {
		return routes.Version()
	}
	return 0
}

// expectConfig waits until the view has a version of the configuration, at most for configBound.
func expectConfig(g Gomega, v *fulmarview.Holder, version uint64) {
	expectConfigWithin(g, configBound, v, version)
}

// expectConfigWithin is expectConfig with another bound.
func expectConfigWithin(g Gomega, bound time.Duration, v *fulmarview.Holder, version uint64) {
	for began := time.Now(); time.Since(began) < bound && configVersion(v) < version; {
		time.Sleep(10 * time.Millisecond)
	}
	g.ExpectWithOffset(2, configVersion(v)).To(Equal(version))
}

// Guards against a configuration that waits for the targets on its way to a daemon: requests were handled by an older one
// more than 3 s after a newer one had been acknowledged.
func TestConfigurationWithoutTargets(t *testing.T) {
	t.Run("the leader's reads of all keys get no answer", func(t *testing.T) {
		simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
			f, store := &fleet{}, &lateScans{Client: fulmarmemory.NewClient(memory)}
			a := f.startWithCPUShare(ctx, "a", 0.5, store)
			time.Sleep(3 * time.Second)
			g.Expect(leader(t, memory)).To(Equal("a"))
			b := f.start(ctx, "b", fulmarmemory.NewClient(memory))
			time.Sleep(time.Second)
			store.late.Store(true)
			for version := uint64(2); version < 5; version++ {
				memory.Set("config", encode(t, config(version)))
				expectConfig(g, a, version)
				expectConfig(g, b, version)
			}
		})
	})
	t.Run("a daemon reaches no other one and cannot read all keys in time", func(t *testing.T) {
		simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
			storeLeader(t, memory, "a")
			f, store := &fleet{}, &lateScans{Client: fulmarmemory.NewClient(memory)}
			b := f.start(ctx, "b", store)
			time.Sleep(2 * time.Second)
			g.Expect(configVersion(b)).To(BeEquivalentTo(1))
			store.late.Store(true)
			memory.Set("config", encode(t, config(2)))
			expectConfig(g, b, 2)
		})
	})
	t.Run("a relay has an old list of targets", func(t *testing.T) {
		followOldRelay(t, func(g *WithT, b *fulmarview.Holder, _ *fulmarlimit.Board) { expectConfig(g, b, 2) })
	})
}

// silentStore is a store that answers no reads while silent is set, and whose answers take some time.
type silentStore struct {
	lateScans
	silent atomic.Bool
	delay  time.Duration
}

func (s *silentStore) Scan(ctx context.Context, prefix string) ([]fulmarkv.Item, error) {
	if s.silent.Load() || !fulmarclock.Sleep(ctx, s.delay) {
		<-ctx.Done()
		return nil, fulmarkv.ErrUnavailable
	}
	return s.lateScans.Scan(ctx, prefix)
}

// Guards against a daemon that can't read all keys in time and waits after each read that a silent store has left unanswered, and so
// learns of a configuration over 2 s after the store is back: requests were handled by an older one.
func TestConfigurationAfterSilence(t *testing.T) {
	for silence := 3 * time.Second; silence < 6*time.Second; silence += 100 * time.Millisecond {
		t.Run(silence.String(), func(t *testing.T) {
			simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
				storeLeader(t, memory, "a")
				f, store := &fleet{}, &silentStore{lateScans: lateScans{Client: fulmarmemory.NewClient(memory)}, delay: 600 * time.Millisecond}
				b := f.start(ctx, "b", store)
				time.Sleep(3 * time.Second)
				g.Expect(configVersion(b)).To(BeEquivalentTo(1))
				store.silent.Store(true)
				store.late.Store(true)
				time.Sleep(silence)
				memory.Set("config", encode(t, config(2)))
				store.silent.Store(false)
				expectConfigWithin(g, 2*time.Second, b, 2) // the time in which the users expect a configuration to be in force
			})
		})
	}
}

// Guards against limits of targets that are dropped with the old list of targets beside them.
func TestLimitsOfOldRelay(t *testing.T) {
	followOldRelay(t, func(g *WithT, _ *fulmarview.Holder, limits *fulmarlimit.Board) { expectLimited(g, limits, "x", true) })
}

// oldRelay is a relay with an old list of targets, a new configuration and a limit of a target.
type oldRelay struct{ *staleLeader }

func (r oldRelay) Sync(ctx context.Context, report *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	u, err := r.staleLeader.Sync(ctx, report)
	if err == nil {
		u.Limits = []fulmarleaderrpc.TargetLimit{fulmarleaderrpc.PackLimit(time.Now(), stated("x", true))}
	}
	return u, err
}

// followOldRelay runs a test with a daemon that can only follow an oldRelay, when it has got its first answer.
func followOldRelay(t *testing.T, test func(g *WithT, v *fulmarview.Holder, limits *fulmarlimit.Board)) {
	t.Helper()
	simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
		storeRelay(t, memory, "r")
		storeLeader(t, memory, "a")
		f, store := &fleet{}, fulmarmemory.NewClient(memory)
		b, limits := f.startWithLimits(ctx, "b", 0.2, store)
		time.Sleep(2 * time.Second)
		g.Expect(b.Get().Ready()).To(BeTrue())
		store.SetFault(fulmarmemory.Rejected)
		f.setLeader("r", oldRelay{&staleLeader{lastRead: time.Now().Add(-5 * time.Second), config: config(2), version: 2}})
		time.Sleep(6 * time.Second) // the daemon did not reach the relay before, and tries it again
		test(g, b, limits)
	})
}

// olderAfterNewer is a leader whose answers have a configuration that is older than the one before.
type olderAfterNewer struct {
	noPermits
	answers atomic.Int64
}

func (l *olderAfterNewer) Sync(ctx context.Context, _ *fulmarleaderrpc.Report) (*fulmarleaderrpc.Update, error) {
	select {
	case <-time.After(100 * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	version := uint64(3)
	if l.answers.Add(1) > 1 {
		version = 2
	}
	packed, err := fulmarleaderrpc.PackConfig(config(version))
	return &fulmarleaderrpc.Update{
		Versions: fulmarleaderrpc.Versions{Term: 1, Config: version, Targets: l.answers.Load()}, Daemons: 2, Config: packed, Complete: true,
	}, err
}

func (*olderAfterNewer) Close() {}

// Guards against a daemon that goes back to an older configuration in one lifetime of its process, from whatever source.
func TestConfigurationNeverFalls(t *testing.T) {
	stays := func(t *testing.T, g Gomega, v *fulmarview.Holder, version uint64) {
		t.Helper()
		for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(10 * time.Millisecond) {
			g.Expect(configVersion(v)).To(BeNumerically(">=", version))
		}
	}
	t.Run("from a leader", func(t *testing.T) {
		simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
			storeLeader(t, memory, "a")
			f := &fleet{}
			f.setLeader("a", &olderAfterNewer{})
			b := f.start(ctx, "b", fulmarmemory.NewClient(memory))
			time.Sleep(time.Second)
			stays(t, g, b, 3)
		})
	})
	t.Run("from the store", func(t *testing.T) {
		simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
			memory.Set("config", encode(t, config(3)))
			f := &fleet{}
			b := f.start(ctx, "b", fulmarmemory.NewClient(memory))
			time.Sleep(3 * time.Second)
			memory.Set("config", encode(t, config(2)))
			stays(t, g, b, 3)
		})
	})
	t.Run("from another leader that has not read it yet", func(t *testing.T) {
		simulate(t, func(ctx context.Context, t *testing.T, g *WithT, memory *fulmarmemory.Store) {
			f := &fleet{}
			leaderCtx, stop := context.WithCancel(ctx)
			f.startWithCPUShare(leaderCtx, "a", 0.5, fulmarmemory.NewClient(memory))
			time.Sleep(3 * time.Second)
			b := f.start(ctx, "b", fulmarmemory.NewClient(memory))
			memory.Set("config", encode(t, config(3)))
			time.Sleep(2 * time.Second)
			g.Expect(configVersion(b)).To(BeEquivalentTo(3))
			stop()
			memory.Remove(fulmarsnapshot.LeaderKey)
			storeLeader(t, memory, "c")
			f.setLeader("c", &staleLeader{lastRead: time.Now().Add(time.Hour), config: config(1)})
			stays(t, g, b, 3)
		})
	})
}
