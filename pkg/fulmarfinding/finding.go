package fulmarfinding

import "slices"

// Severity states what a finding means for the configuration.
type Severity string

// Severities.
const (
	Fault         Severity = "error"         // the configuration is rejected
	Unreachable   Severity = "unreachable"   // the entry can never apply
	Contradiction Severity = "contradiction" // two settings cannot both take effect
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Entry    string   `json:"entry"`
	Problem  string   `json:"problem"`
}

// String returns the finding as one line.
func (f Finding) String() string { return string(f.Severity) + ": " + f.Entry + ": " + f.Problem }

// HasFault reports whether one of the findings is a fault.
func HasFault(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Severity == Fault })
}
