package fulmarforwarder

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarbalancer"
)

const (
	// minLoadFigures is the number of figures that each load report has: running requests, waiting requests and slots.
	minLoadFigures = 3
	// maxLoadFigure bounds a figure; greater ones are damage and would overflow the sums of the balancer.
	maxLoadFigure = 1 << 20
	// usualPace is the fourth figure of a report of a target that works at its usual speed.
	usualPace = 100.
)

// recordLoad records the load that a target reports with an answer and returns it, zero if there is none. A malformed report is
// counted and logged.
func (x *exchange) recordLoad(now time.Time, target string, answer http.Header) fulmarbalancer.Load {
	d := &x.forwarder.deps
	text := answer.Get(d.HeaderNames.Load)
	if text == "" {
		return fulmarbalancer.Load{}
	}
	load, err := parseLoad(text)
	if err != nil {
		d.Metrics.Count("relay.load_malformed")
		d.Log.Warn("target reports a malformed load", "target", target, "id", x.id, "value", text, "error", err)
		return fulmarbalancer.Load{}
	}
	d.Balancer.RecordLoad(now, target, load)
	if load.Slowdown > 0 && x.key < 0 && d.Chooser != nil {
		d.Chooser.RecordSharing(x.service.Name)
	}
	return load
}

// parseLoad parses the load that a target reports: running requests, waiting requests and slots, and, from some targets, how
// long work takes there now, in percent of the usual time. Figures after these are of a later version and are ignored.
func parseLoad(text string) (fulmarbalancer.Load, error) {
	var load fulmarbalancer.Load
	parts := strings.Split(text, ",")
	if len(parts) < minLoadFigures {
		return load, errors.Errorf("fulmarforwarder: load report has %d figures, at least %d expected", len(parts), minLoadFigures)
	}
	for i, figure := range []*int{&load.Running, &load.Waiting, &load.Slots} {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil {
			return load, errors.Wrap(err, "fulmarforwarder: load report")
		}
		if v < 0 || v > maxLoadFigure {
			return load, errors.Errorf("fulmarforwarder: figure %d of a load report is out of range", v)
		}
		*figure = v
	}
	if len(parts) == minLoadFigures {
		return load, nil
	}
	pace, err := strconv.ParseFloat(strings.TrimSpace(parts[minLoadFigures]), 64)
	if err != nil {
		return load, errors.Wrap(err, "fulmarforwarder: load report")
	}
	if !(pace > 0 && pace <= maxLoadFigure) { // also false for NaN
		return load, errors.Errorf("fulmarforwarder: pace %g of a load report is out of range", pace)
	}
	load.Slowdown = pace / usualPace
	return load, nil
}
