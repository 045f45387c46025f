package fulmartrial

import (
	"context"
	"os"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	configDaemons = 27
	configPuts    = 10
	configEvery   = 2 * time.Second
)

// inForce matches the line that a daemon logs when it adopts a version.
var inForce = regexp.MustCompile(`(?m)^time=(\S+) .*msg="configuration in force".* version=(\d+)`)

// config measures the time from sending a version to the key-value service until
// it is in force on the slowest daemon, by the daemons' logs.
func (t *Trial) config(ctx context.Context) error {
	table := newTable("config", "daemons", "puts", "slowest daemon: median ms", "slowest daemon: longest ms", "daemons without a version")
	p := plan{daemons: configDaemons, services: hardanger(36, 256), groups: []string{"ferries", "clinics"}, queue: 200}
	err := t.fleet(ctx, p, func(f *fleet) error {
		sent := map[uint64]time.Time{}
		for version := uint64(2); version < 2+configPuts; version++ {
			index, err := f.configIndex(ctx)
			if err != nil {
				return err
			}
			sent[version] = time.Now()
			if err := f.putConfig(ctx, version, index); err != nil {
				return err
			}
			if err := pause(ctx, configEvery); err != nil {
				return err
			}
		}
		var slowest []time.Duration
		missing := 0
		for version, at := range sent {
			took, without, err := f.spread(version, at)
			if err != nil {
				return err
			}
			slowest, missing = append(slowest, took), missing+without
		}
		slices.Sort(slowest)
		table.add(configDaemons, configPuts, slowest[len(slowest)/2], slowest[len(slowest)-1], missing)
		return nil
	})
	if err != nil {
		return err
	}
	return t.print(table)
}

// spread returns the time until a version was in force on the slowest daemon,
// and the number of daemons that did not log it. A daemon may skip a version.
func (f *fleet) spread(version uint64, sent time.Time) (time.Duration, int, error) {
	var slowest time.Duration
	missing := 0
	for _, m := range f.members {
		log, err := os.ReadFile(f.log(m))
		if err != nil {
			return 0, 0, errors.Wrap(err, "fulmartrial: read log")
		}
		at, ok := adopted(string(log), version)
		if !ok {
			missing++
			continue
		}
		slowest = max(slowest, at.Sub(sent))
	}
	return slowest, missing, nil
}

// adopted returns when a log says that a version, or a later one, came into force.
func adopted(log string, version uint64) (time.Time, bool) {
	for _, match := range inForce.FindAllStringSubmatch(log, -1) {
		at, err := time.Parse(time.RFC3339Nano, match[1])
		n, numberErr := strconv.ParseUint(match[2], 10, 64)
		if err == nil && numberErr == nil && n >= version {
			return at, true
		}
	}
	return time.Time{}, false
}
