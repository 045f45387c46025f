package fulmarreplay

// Figures of Repeats; those of the router are in the route and in its settings.
const (
	maxSends     = 2   // to the owner of the key
	repeatsRatio = 0.2 // repeats for each request
)

// Repeats is DaemonLimit, but sends a request that its target has rejected with a free slot there once more, within a budget of
// the fleet.
type Repeats struct {
	*DaemonLimit
	sends             map[*Request]int
	requests, repeats int
}

// NewRepeats returns an admission with repeats in which each daemon has at most limit requests in flight at a target.
func NewRepeats(limit int) *Repeats {
	return &Repeats{DaemonLimit: NewDaemonLimit(limit), sends: make(map[*Request]int)}
}

// Offer sends the request, or refuses it if its daemon is at the limit for the target.
func (a *Repeats) Offer(s *Sim, r *Request) {
	if a.sends[r] == 0 {
		a.requests++
	}
	a.sends[r]++
	a.DaemonLimit.Offer(s, r)
}

// Rejected sends the request once more if its target has a free slot and the budget allows it, and refuses it otherwise.
func (a *Repeats) Rejected(s *Sim, r *Request, hasFreeSlot bool) {
	if !hasFreeSlot || a.sends[r] >= maxSends || float64(a.repeats+1) > repeatsRatio*float64(a.requests) {
		s.Refuse(r)
		return
	}
	a.repeats++
	s.After(0, func() { a.Offer(s, r) })
}
