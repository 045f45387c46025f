package fulmarleader

import (
	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
)

// RecordCrashes records what others know of requests that crash targets.
func (d Deps) RecordCrashes(crashes []fulmarcrash.Aged, source string) {
	if len(crashes) == 0 {
		return
	}
	now := d.Now()
	records := make([]fulmarcrash.Record, 0, len(crashes))
	for _, a := range crashes {
		records = append(records, a.Record(now))
	}
	if d.Crashes.Merge(records) {
		d.Log.Info("crashing requests learned", "records", len(records), "version", d.Crashes.Version(), "source", source)
	}
}
