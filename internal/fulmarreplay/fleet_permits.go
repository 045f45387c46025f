package fulmarreplay

import "time"

// Figures of FleetPermits; those of the router are in packages fulmarassign, fulmarpermit and fulmarforwarder.
const (
	permitCallTime   = 2 * networkDelay // until the leader's answer is there
	permitMaxWait    = 50 * time.Millisecond
	permitsKept      = 3   // permits that are kept while nobody asks for them
	boundedFrom      = 1.2 // demand of a target from which permits are needed, as a multiple of its capacity
	demandMeasuredIn = 500 * time.Millisecond
)

// FleetPermits lets the leader give permits for requests to the targets that are asked for more than they can do, at the rate
// of what they can do. All requests are also subject to the limit of each daemon.
type FleetPermits struct {
	*DaemonLimit
	meters map[int]*demandMeter // by target
}

// demandMeter measures the demand of a target, and holds when its next permit is due.
type demandMeter struct {
	windowStart time.Duration
	inWindow    int
	perSecond   float64
	lastPermit  time.Duration
}

// NewFleetPermits returns an admission with permits in which each daemon has at most limit requests in flight at a target.
func NewFleetPermits(limit int) *FleetPermits {
	return &FleetPermits{NewDaemonLimit(limit), make(map[int]*demandMeter)}
}

// Offer sends the request, after a permit if its target is asked for too much, or refuses it.
func (f *FleetPermits) Offer(s *Sim, r *Request) {
	m := f.meters[r.Target]
	if m == nil {
		m = &demandMeter{windowStart: s.Now()}
		f.meters[r.Target] = m
	}
	m.count(s.Now())
	capacity := float64(s.pattern.Slots) / s.serviceTimes.Get(s.now(), s.incarnation(r.Target).ID)
	if m.perSecond <= boundedFrom*capacity {
		f.DaemonLimit.Offer(s, r)
		return
	}
	s.After(permitCallTime, func() {
		wait, ok := m.take(s.Now(), time.Duration(float64(time.Second)/capacity))
		if !ok {
			s.Refuse(r)
			return
		}
		s.After(wait, func() { f.DaemonLimit.Offer(s, r) })
	})
}

// take takes a permit of which one becomes available in each interval, and returns the wait for it.
func (m *demandMeter) take(now, interval time.Duration) (wait time.Duration, ok bool) {
	next := max(m.lastPermit+interval, now-permitsKept*interval)
	if wait = max(next-now, 0); wait > permitMaxWait {
		return wait, false
	}
	m.lastPermit = next
	return wait, true
}

// count counts a request.
func (m *demandMeter) count(now time.Duration) {
	m.inWindow++
	if passed := now - m.windowStart; passed >= demandMeasuredIn {
		m.perSecond = float64(m.inWindow) / passed.Seconds()
		m.windowStart, m.inWindow = now, 0
	}
}
