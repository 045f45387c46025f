package fulmarfollower

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarbend/fulmarbend/internal/fulmarleaderrpc"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarlimit"
)

// permitLink is the connection over which permits are asked for. It is not the one for reports, on which a call waits
// for changes.
type permitLink struct {
	mu      sync.Mutex
	address string
	leader  Leader
}

// setLeaderAddress sets the address of the leader that this daemon follows, or an empty one if it follows none.
func (f *Follower) setLeaderAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaderAddress = address
}

// Permits dispenses permits if this daemon leads; see fulmarleaderrpc.Handler.
func (f *Follower) Permits(_ context.Context, r *fulmarleaderrpc.PermitRequest) (*fulmarleaderrpc.PermitAnswer, error) {
	f.mu.Lock()
	term := f.term
	f.mu.Unlock()
	if term == nil {
		return nil, fulmarleaderrpc.ErrNotLeader
	}
	return term.Permits(r)
}

// AskPermits asks the leader, which may be this daemon, for permits.
func (f *Follower) AskPermits(ctx context.Context, r *fulmarleaderrpc.PermitRequest) (*fulmarleaderrpc.PermitAnswer, error) {
	f.mu.Lock()
	term, address := f.term, f.leaderAddress
	f.mu.Unlock()
	if term != nil {
		return term.Permits(r)
	}
	return f.permits.ask(ctx, f.dial, address, r)
}

// ask sends r to the leader at address, over the connection of the last call if it was to the same address.
func (l *permitLink) ask(ctx context.Context, dial Dial, address string, r *fulmarleaderrpc.PermitRequest) (*fulmarleaderrpc.PermitAnswer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != address {
		l.close()
	}
	if address == "" {
		return nil, fulmarleaderrpc.ErrNotLeader
	}
	if l.leader == nil {
		leader, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		l.address, l.leader = address, leader
	}
	answer, err := l.leader.Permits(ctx, r)
	if err != nil {
		l.close()
	}
	return answer, err
}

// close closes the connection, if there is one. The caller holds mu.
func (l *permitLink) close() {
	if l.leader != nil {
		l.leader.Close()
	}
	l.address, l.leader = "", nil
}

// limitReportInterval is the time after which a limit is reported again that the leader has not taken into account.
const limitReportInterval = time.Second

// reportedLimit is the latest report of a limit.
type reportedLimit struct {
	fulmarlimit.Statement
	at time.Time
}

// reportTo returns a report to the leader, or to a relay, from which this daemon has received s. It contains the limits and
// the leaving targets that are not part of s.
func (f *Follower) reportTo(s *leaderState, relay bool) *fulmarleaderrpc.Report {
	r := f.report(s.versions)
	r.ToRelay, r.Direct = relay, !relay && f.needsLeader()
	now := f.deps.Now()
	for _, own := range f.deps.Limits.Statements() {
		if own.SameLimit(s.limits[own.Target].Unpack(now)) {
			continue
		}
		if last, ok := s.reported[own.Target]; ok && own.SameLimit(last.Statement) && now.Sub(last.at) < limitReportInterval {
			continue
		}
		if s.reported == nil {
			s.reported = make(map[string]reportedLimit)
		}
		s.reported[own.Target] = reportedLimit{own, now}
		r.Limits = append(r.Limits, fulmarleaderrpc.PackLimit(now, own))
	}
	r.Leaving = f.unknownLeaving(s)
	r.Crashes, r.KnowsCrashes = s.crashes.unknown(now, f.deps.Crashes), true
	return r
}

// unknownLeaving returns the targets that have said that they leave, and do not in what the leader, or a relay, has sent.
func (f *Follower) unknownLeaving(s *leaderState) (out []fulmarleaderrpc.LeavingTarget) {
	if s.catalog == nil {
		return nil
	}
	now := f.deps.Now()
	for target, since := range f.deps.Notices.Leaving() {
		if listed, ok := s.catalog.Target(target.ID); ok && listed.Born == target.Born && !listed.Leaving {
			out = append(out, fulmarleaderrpc.LeavingTarget{Target: target.ID, Born: target.Born, Age: now.Sub(since)})
		}
	}
	return out
}

// Leader returns the address of the leader, empty if none is known or if this daemon leads, which self states.
func (f *Follower) Leader() (address string, self bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term != nil {
		return "", true
	}
	return f.leaderAddress, false
}
