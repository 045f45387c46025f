package fulmarroute

// Kind states how often the requests of a route may be executed, and what their answers are like.
type Kind uint8

// Kinds of routes. The zero value permits the least.
const (
	AtMostOnce  Kind = iota // each request is executed at most once
	Idempotent              // requests may be executed again
	LargeAnswer             // idempotent, with answers that are too large to be held in memory
	UnknownKind             // a kind that this version does not know; served at most once
)

// Repeatable reports whether a request may be executed again.
func (k Kind) Repeatable() bool { return k == Idempotent || k == LargeAnswer }

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case AtMostOnce:
		return "at most once"
	case Idempotent:
		return "idempotent"
	case LargeAnswer:
		return "idempotent with large answers"
	}
	return "unknown"
}
