package fulmarforwarder

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
)

// evacuatedRetryAfter is the Retry-After value of requests whose target is evacuated; the random part of it is as long. The keys of
// an evacuated target that does not release them have another owner after 2 s.
const evacuatedRetryAfter = time.Second

// retryAfterEvacuation returns the Retry-After value of a request whose target is evacuated.
func retryAfterEvacuation() time.Duration { return evacuatedRetryAfter + rand.N(evacuatedRetryAfter) }

// departureReason returns why the owner of the request's key, which departs, does not accept the request. If decided is false, the
// key may get another owner.
func (x *exchange) departureReason(t fulmarcatalog.Target) (reason Reason, decided bool) {
	if !t.Evacuated {
		return Leaving, x.view.Leader == ""
	}
	others := slices.ContainsFunc(x.view.Catalog.Service(x.service.Name), func(t fulmarcatalog.Target) bool { return !t.Evacuated && !t.Leaving })
	return Evacuated, x.view.Leader == "" || !others
}
