package fulmarforwarder

import (
	"net/http"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// mayRepeatAtOwner reports whether a request with a key that its owner has rejected waits for a further send. Only the owner of
// a key can serve it:
//   - an owner that reports a free slot rejects single requests, and gets the request once more;
//   - an owner whose slots are all in use rejects what its queue has no place for, and more sends would only keep the queue full;
//   - an owner that does not hold the key gets the request no more, but the key may have another owner soon. It is the same for
//     one that does not report its load.
func (x *exchange) mayRepeatAtOwner(owner fulmarcatalog.Target) bool {
	last := x.statements[len(x.statements)-1]
	switch {
	case last.status == http.StatusMisdirectedRequest || last.load.Slots == 0:
		return true
	case !hasFreeSlot(last.load):
		x.forwarder.deps.Metrics.Count("relay.owner_full")
		return false
	}
	delete(x.tried, owner.ID)
	return true
}

// hasFreeSlot reports whether a target with such a load would start a request at once.
func hasFreeSlot(l fulmarbalancer.Load) bool { return l.Running < l.Slots }
