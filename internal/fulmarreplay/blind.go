package fulmarreplay

// Blind sends at once and bounds only the requests of each daemon at each target.
type DaemonLimit struct {
	Limit int
	own   map[[2]int]int
}

// NewBlind returns an admission of at most limit requests of a daemon at a target.
func NewDaemonLimit(limit int) *DaemonLimit {
	return &DaemonLimit{Limit: limit, own: make(map[[2]int]int)}
}

// Offer sends the request or refuses it.
func (b *DaemonLimit) Offer(s *Sim, r *Request) {
	k := [2]int{r.Daemon, r.Target}
	if b.own[k] >= b.Limit {
		s.Refuse(r)
		return
	}
	b.own[k]++
	s.Send(r)
}

// Ended frees the place of a request.
func (b *DaemonLimit) Ended(_ *Sim, r *Request) { b.own[[2]int{r.Daemon, r.Target}]-- }
