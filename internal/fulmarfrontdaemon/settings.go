package fulmarfrontdaemon

import (
	"time"

	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarallowance"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarhedge"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarwarmup"
)

// ListenAddresses holds the addresses that a daemon listens on, host:port.
type ListenAddresses struct {
	Callers string
	Ready   string // readiness check
	Peers   string // calls of other daemons
	Metrics string
}

// Settings holds the settings of a daemon.
type Settings struct {
	ID          string
	DC          string
	FirstStart  bool // the whole fleet starts for the first time
	Listen      ListenAddresses
	Store       string               // address of the key-value service
	MinLease    time.Duration        // shortest lease that the store grants, zero for none
	MaxGrant    time.Duration        // longest grant that targets accept
	DrainTime   time.Duration        // time for which a leaving target still accepts requests for its keys
	Evacuation  time.Duration        // time after which the targets of an evacuated data centre get no requests; zero if there are no evacuations
	GracePeriod time.Duration        // time from SIGTERM to the exit of the process
	RetryRule   fulmarallowance.Rule // retry limit of the fleet
	Hedging     fulmarhedge.Policy   // limit of hedged requests; a change takes effect at the next start
	ColdRule    fulmarwarmup.Rule    // bound of the requests to a cold target
	CPUShare    float64              // share of a CPU core that the daemon may use
	MemoryBytes int64                // memory of the instance in bytes
}

// Check returns an error for the first missing or invalid setting.
func (s Settings) Check() error {
	for _, field := range []struct{ name, value string }{
		{"id", s.ID},
		{"data centre", s.DC},
		{"address for callers", s.Listen.Callers},
		{"address of the readiness check", s.Listen.Ready},
		{"address for peers", s.Listen.Peers},
		{"address of the store", s.Store},
	} {
		if field.value == "" {
			return errors.Errorf("fulmarfrontdaemon: settings have no %s", field.name)
		}
	}
	for _, field := range []struct {
		name  string
		value time.Duration
	}{{"longest grant", s.MaxGrant}, {"drain time", s.DrainTime}, {"grace period", s.GracePeriod}, {"retry window", s.RetryRule.Window}} {
		if field.value <= 0 {
			return errors.Errorf("fulmarfrontdaemon: %s is not positive", field.name)
		}
	}
	if s.ColdRule.Over < 0 || s.ColdRule.Slack < 0 {
		return errors.New("fulmarfrontdaemon: bound of the requests to a cold target is negative")
	}
	if s.MinLease < 0 {
		return errors.New("fulmarfrontdaemon: shortest lease of the store is negative")
	}
	if s.Evacuation < 0 {
		return errors.New("fulmarfrontdaemon: evacuation time is negative")
	}
	return s.Hedging.Check()
}
