package fulmarfrontdaemon

import (
	"log/slog"

	"github.com/fulmarbend/fulmarbend/internal/fulmarmetric"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
)

// eraObserver counts and logs the restores of the store, and its answers whose era is not believed.
type eraObserver struct {
	metrics *fulmarmetric.Metrics
	log     *slog.Logger
}

// EraRejected implements fulmarera.Observer.
func (o eraObserver) EraRejected(reason string) {
	o.metrics.Count("store.era_" + reason)
	o.log.Debug("era of an answer of the store not believed", "reason", reason)
}

// EraBegan implements fulmarera.Observer.
func (o eraObserver) EraBegan(from, to fulmarera.Era) {
	o.metrics.Count("store.restored")
	o.log.Warn("store was restored from an older copy", "era", to, "former", from)
}
