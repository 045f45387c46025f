package fulmarreplay

// DaemonLimit sends requests without queueing and bounds only the requests that each
// daemon has in flight at each target. The daemons do not know of each other's requests.
type DaemonLimit struct {
	Limit    int
	inFlight map[[2]int]int // by daemon and target
}

// NewDaemonLimit returns an admission that lets each daemon have at most limit requests in flight at a target.
func NewDaemonLimit(limit int) *DaemonLimit {
	return &DaemonLimit{Limit: limit, inFlight: make(map[[2]int]int)}
}

// Offer sends the request, or refuses it if its daemon is at the limit for the target.
func (l *DaemonLimit) Offer(s *Sim, r *Request) {
	k := [2]int{r.Daemon, r.Target}
	if l.inFlight[k] >= l.Limit {
		s.Refuse(r)
		return
	}
	l.inFlight[k]++
	s.Send(r)
}

// Ended removes the request from those in flight.
func (l *DaemonLimit) Ended(_ *Sim, r *Request) { l.inFlight[[2]int{r.Daemon, r.Target}]-- }
