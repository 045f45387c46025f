package fulmaradmission_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fulmarbend/fulmarbend/internal/fulmaradmission"
	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarpermit"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrate"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrotation"
)

// scriptedLeader answers each request for a permit in the same way, and counts them.
type scriptedLeader struct {
	permit fulmarleaderrpc.Permit
	err    error
	asked  int
}

func (l *scriptedLeader) AskPermits(_ context.Context, r *fulmarleaderrpc.PermitRequest) (*fulmarleaderrpc.PermitAnswer, error) {
	l.asked += len(r.Permits)
	if l.err != nil {
		return nil, l.err
	}
	a := &fulmarleaderrpc.PermitAnswer{}
	for range r.Permits {
		a.Permits = append(a.Permits, l.permit)
	}
	return a, nil
}

// Count implements fulmaradmission.Metrics.
func (*scriptedLeader) Count(string) {}

// Guards against a panic of all daemons that lose their leader while a target states a limit that is none in effect.
func TestHugeLimitWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		leader, limits := scriptedLeader{err: errors.New("no leader")}, fulmarlimit.New()
		limits.Record(fulmarlimit.Statement{Target: "x", Limited: true, Rate: 1 << 63, ReceivedAt: time.Now()})
		gate := fulmaradmission.New(fulmaradmission.Deps{
			Limits: limits, Rates: limits, ColdRates: fulmarrate.Table{}, TurnRates: limits, Leader: &leader, Rotation: fulmarrotation.New("d"), Daemons: func() int { return 5 },
			Metrics: &leader, Log: slog.New(slog.DiscardHandler), Now: time.Now,
		})
		go gate.Run(ctx)
		for range 2 { // the second one uses that the leader does not answer
			_, ok := gate.Admit(ctx, fulmarpermit.Request{Target: "x", MaxWait: 50 * time.Millisecond})
			g.Expect(ok).To(BeTrue())
		}
	})
}

// Guards against requests for a hot key that are sent without a permit of the leader, and against ones that are refused because
// there is no leader: only it knows what the target can do.
func TestBoundedKey(t *testing.T) {
	refusal := fulmarleaderrpc.Permit{Wait: 200 * time.Millisecond}
	for _, c := range []struct {
		name    string
		leader  scriptedLeader
		bounded bool
		ok      bool
		asked   int
	}{
		{"not bounded", scriptedLeader{permit: refusal}, false, true, 0},
		{"permit", scriptedLeader{permit: fulmarleaderrpc.Permit{Granted: true}}, true, true, 2},
		{"no permit", scriptedLeader{permit: refusal}, true, false, 1},
		{"no leader", scriptedLeader{err: errors.New("no leader")}, true, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); synctest.Wait() }()
				gate := fulmaradmission.New(fulmaradmission.Deps{
					Limits: fulmarlimit.New(), Rates: fulmarrate.Table{}, ColdRates: fulmarrate.Table{}, TurnRates: fulmarrate.Table{}, Leader: &c.leader, Rotation: fulmarrotation.New("d"), Daemons: func() int { return 100 },
					Metrics: &c.leader, Log: slog.New(slog.DiscardHandler), Now: time.Now,
				})
				go gate.Run(ctx)
				for range 2 { // the second one uses what the leader has said, or that it doesn't answer
					began := time.Now()
					after, ok := gate.Admit(ctx, fulmarpermit.Request{Target: "x", MaxWait: 50 * time.Millisecond, Bounded: c.bounded})
					g.Expect(ok).To(Equal(c.ok))
					if !ok {
						g.Expect(after).To(BeNumerically(">", 0))
					}
					g.Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
				}
				g.Expect(c.leader.asked).To(Equal(c.asked))
			})
		})
	}
}
