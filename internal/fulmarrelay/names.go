package fulmarrelay

// Names are the headers that the relay shares with callers and targets.
type Names struct {
	RequestID      string // identifies one attempt of a caller
	Deadline       string // milliseconds that the caller or the sender will wait
	Signature      string // a target's proof that an answer is its own
	ExpectedTarget string // id of the target that a request is meant for
	Load           string // running, waiting and slots of a target
	NotRun         string // a target's statement that it did not run the request
	Key            string // key of the request at a keyed service
	RetryAfter     string // seconds, may have a fraction
}
