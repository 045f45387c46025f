package fulmarforwarder

// HeaderNames holds the names of the HTTP headers that the forwarder exchanges with callers and targets.
type HeaderNames struct {
	RequestID      string // id of one attempt of a caller
	Deadline       string // time that the caller or the sender will wait, in milliseconds
	Signature      string // proves that the answer comes from the target
	ExpectedTarget string // id of the target that the request is addressed to
	Load           string // a target's running requests, waiting requests and slots, and the time that work takes there now, in percent
	Limit          string // requests per second that a target in need accepts from all daemons together
	Cold           string // time for which the target stays cold, in milliseconds
	Leaving        string // states that the target leaves
	NotRun         string // states that the target did not execute the request
	Key            string // key of a request to a keyed service
	RetryAfter     string // time to wait before a retry, or a pause that a target wants, in seconds, possibly with a fraction
}
