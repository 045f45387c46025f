package fulmarleader

import "time"

const (
	// orderCost is the processor time of a core that an order takes: on the users' platform, a leader that sends 2,700 orders a
	// second has nothing left of 0.8 of a core.
	orderCost = 300 * time.Microsecond
	// maxRenewalShare is the part of the leader's processor that renewals of grants take at most. Reads of the store, updates and
	// requests need the rest: at more than half, reads took up to 0.9 s where an idle leader needs 0.15 s.
	maxRenewalShare = 0.5
	// renewalMargin is the time that is left of a grant when it is renewed, whatever the interval: a renewal that fails after
	// grantTimeout is repeated under a new fence, which takes a plan and a write. All that a grant lasts beyond that delays the next
	// owner of the keys of a lost target.
	renewalMargin = grantDuration - grantRenewInterval
	minCPUShare   = 0.01 // of a core; a smaller share is a damaged setting
)

// grantPace returns the time between two renewals of a grant and the duration of grants for a number of granted ranges of keys.
// Few ranges are renewed often, so that keys of lost targets are free soon. Many ones are renewed as often as the processor allows.
func (d Deps) grantPace(ranges int) (renew, ttl time.Duration) {
	longest := time.Duration(float64(d.MaxGrantDuration) * extendedGrantShare)
	needed := float64(ranges) * float64(orderCost) / (maxRenewalShare * max(d.CPUShare, minCPUShare))
	renew = max(grantRenewInterval, time.Duration(min(needed, float64(longest-renewalMargin))))
	return renew, renew + renewalMargin
}

// countRanges returns the number of granted ranges of keys. The caller holds mu.
func (t *Term) countRanges() (n int) {
	for _, s := range t.services {
		n += s.orders.Table().Len()
	}
	return n
}

// setGrantPace adapts the renewals of grants to the number of ranges, unless all grants are extended. The caller holds mu.
func (t *Term) setGrantPace() {
	if t.grantsExtended {
		return
	}
	renew, ttl := t.deps.grantPace(t.countRanges())
	for _, s := range t.services {
		s.orders.SetPace(renew, ttl)
	}
}
