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
	configDaemons  = 27
	configPuts     = 10
	configInterval = 2 * time.Second
)

// inForcePattern matches the line that a daemon logs when it puts a
// configuration version into force.
var inForcePattern = regexp.MustCompile(`(?m)^time=(\S+) .*msg="configuration in force".* version=(\d+)`)

// measureConfig measures the time from the write of a configuration version to
// the key-value service until the version is in force on the slowest daemon. The
// times come from the daemons' logs.
func (t *Trial) measureConfig(ctx context.Context) error {
	table := newResultTable("config", "daemons", "puts", "slowest daemon: median ms", "slowest daemon: longest ms", "daemons without a version")
	spec := fleetSpec{daemonCount: configDaemons, services: hardangerServices(36, 256), groups: []string{"ferries", "clinics"}, queueLength: 200}
	err := t.withFleet(ctx, spec, func(f *fleet) error {
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
			if err := sleep(ctx, configInterval); err != nil {
				return err
			}
		}
		var slowest []time.Duration
		notLoggedSum := 0
		for version, sentAt := range sent {
			delay, notLogged, err := f.adoptionDelay(version, sentAt)
			if err != nil {
				return err
			}
			slowest, notLoggedSum = append(slowest, delay), notLoggedSum+notLogged
		}
		slices.Sort(slowest)
		table.addRow(configDaemons, configPuts, slowest[len(slowest)/2], slowest[len(slowest)-1], notLoggedSum)
		return nil
	})
	if err != nil {
		return err
	}
	return t.writeTable(table)
}

// adoptionDelay returns the time until a version was in force on the slowest
// daemon, and the number of daemons that logged neither it nor a later version: a
// daemon may skip a version.
func (f *fleet) adoptionDelay(version uint64, sent time.Time) (time.Duration, int, error) {
	var slowest time.Duration
	notLogged := 0
	for _, d := range f.daemons {
		log, err := os.ReadFile(f.logPath(d))
		if err != nil {
			return 0, 0, errors.Wrap(err, "fulmartrial: read daemon log")
		}
		inForceAt, ok := adoptionTime(string(log), version)
		if !ok {
			notLogged++
			continue
		}
		slowest = max(slowest, inForceAt.Sub(sent))
	}
	return slowest, notLogged, nil
}

// adoptionTime returns the time at which the log reports a version, or a later
// one, as in force. It returns false if there is none.
func adoptionTime(log string, version uint64) (time.Time, bool) {
	for _, match := range inForcePattern.FindAllStringSubmatch(log, -1) {
		loggedAt, err := time.Parse(time.RFC3339Nano, match[1])
		n, numberErr := strconv.ParseUint(match[2], 10, 64)
		if err == nil && numberErr == nil && n >= version {
			return loggedAt, true
		}
	}
	return time.Time{}, false
}
