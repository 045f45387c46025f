package fulmarforwarder

import (
	"context"
	"strings"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcatalog"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarfingerprint"
)

// credentials are the headers by which callers identify themselves. Requests of two callers are different work, even if they
// are alike otherwise.
var credentials = []string{"Authorization", "Cookie"}

// work returns the fingerprint of the request's content, which is the same when a caller sends the request again under
// another id.
func (x *exchange) work() uint64 {
	if x.fingerprint == 0 {
		r := x.request
		fields := []string{r.Method, strings.ToLower(r.Host), r.RequestURI, r.Header.Get(x.forwarder.deps.HeaderNames.Key)}
		for _, name := range credentials {
			fields = append(fields, strings.Join(r.Header.Values(name), "\n"))
		}
		x.fingerprint = fulmarfingerprint.New(r.Payload.Prefix(), fields...)
	}
	return x.fingerprint
}

// recordUnanswered records that a target has not answered the request that was sent to it. If the target's process has ended
// meanwhile, the request may have crashed it.
func (x *exchange) recordUnanswered(ctx context.Context, t fulmarcatalog.Target) {
	d := &x.forwarder.deps
	if ctx.Err() != nil || !d.Pool.Refuses(ctx, t.Address) {
		return
	}
	d.Metrics.Count("relay.target_ended")
	d.Log.Info("target ended during a request", "id", x.id, "target", t.ID, "born", t.Born, "key", x.key, "work", x.work(), "cause", x.lastError)
}
