package fulmarconfig

import "time"

// Service is a key space served by targets of one kind.
type Service struct {
	Name       string
	Slots      int
	Idempotent bool
}

// Limits are the values in force for a group at a service, with the source of each.
type Limits struct {
	Weight     float64
	Queue      int           // most waiting requests of the group for one target
	Timeout    time.Duration // when the caller names none
	MaxTimeout time.Duration
	Body       int64             // largest request body, in bytes
	Source     map[string]string // by setting: "default", or the exception's name and reason
}

// Config is an immutable configuration.
type Config struct{}

// Parse reads the TOML form strictly and returns all faults with line and field in a *FaultsError.
func Parse(text []byte) (Config, error) { panic("fulmarconfig: not implemented") }

// Text returns the TOML form as it was parsed.
func (c Config) Text() []byte { panic("fulmarconfig: not implemented") }

// Services returns the services in order of name.
func (c Config) Services() []Service { panic("fulmarconfig: not implemented") }

// Service returns the service named name.
func (c Config) Service(name string) (Service, bool) { panic("fulmarconfig: not implemented") }

// Groups returns the names of the groups in order.
func (c Config) Groups() []string { panic("fulmarconfig: not implemented") }

// Limits returns the limits of a group at a service; false if either is unknown.
func (c Config) Limits(service, group string) (Limits, bool) { panic("fulmarconfig: not implemented") }

// LongRatio is the multiple of a service's median cost from which work is long.
func (c Config) LongRatio() float64 { panic("fulmarconfig: not implemented") }

// MaxMoving is the largest number of slots that move at once.
func (c Config) MaxMoving() int { panic("fulmarconfig: not implemented") }

// Drained returns the targets that operators drain, in order.
func (c Config) Drained() []string { panic("fulmarconfig: not implemented") }

// Versioned is a configuration with the metadata that the key-value service keeps.
type Versioned struct {
	Version   uint64 `cbor:"version"`
	Operation string `cbor:"operation"` // id of the put, for reading back after a lost answer
	Author    string `cbor:"author"`
	Text      []byte `cbor:"text"`
}
