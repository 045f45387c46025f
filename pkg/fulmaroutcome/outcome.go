package fulmaroutcome

// Outcome states what is known about the execution of a request.
type Outcome string

// Outcomes of a request.
const (
	Served  Outcome = "served"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Reason explains an outcome that is not Served.
type Reason string

// Reasons for NotRun.
const (
	Malformed      Reason = "malformed"
	TooLarge       Reason = "too-large"
	UnknownService Reason = "unknown-service"
	UnknownGroup   Reason = "unknown-group"
	QueueFull      Reason = "queue-full"
	Deadline       Reason = "deadline"
	Moving         Reason = "moving"
	NotHolder      Reason = "not-holder"
	NoOwner        Reason = "no-owner"
	NoDispatcher   Reason = "no-dispatcher"
	Stale          Reason = "stale"
	Draining       Reason = "draining"
	Shed           Reason = "shed"
	Fenced         Reason = "fenced"
	Condemned      Reason = "condemned"
	IDMissing      Reason = "id-missing"
	IDAhead        Reason = "id-ahead"
	Budget         Reason = "budget"
	Dial           Reason = "dial" // connecting to the dispatcher or the target failed
)

// Reasons for Unknown.
const (
	BeforeHorizon  Reason = "before-horizon"
	AnswerDropped  Reason = "answer-dropped"
	TargetLost     Reason = "target-lost"
	DispatcherLost Reason = "dispatcher-lost"
	Late           Reason = "late"
	BodyBroken     Reason = "body-broken"
)

// HTTP headers of messages between callers and daemons.
const (
	HeaderKey       = "Fulmarbend-Key"
	HeaderGroup     = "Fulmarbend-Group"
	HeaderRequestID = "Fulmarbend-Request-Id"
	HeaderTimeout   = "Fulmarbend-Timeout"
	HeaderAttempt   = "Fulmarbend-Attempt"
	HeaderOutcome   = "Fulmarbend-Outcome"
	HeaderReason    = "Fulmarbend-Reason"
)

// HTTP headers of messages between daemons, and between daemons and targets.
const (
	HeaderTerm       = "Fulmarbend-Term"
	HeaderSlot       = "Fulmarbend-Slot"
	HeaderDeadline   = "Fulmarbend-Deadline"
	HeaderDeadlineAt = "Fulmarbend-Deadline-At"
	HeaderStamp      = "Fulmarbend-Stamp"
	HeaderExchange   = "Fulmarbend-Exchange" // id of one order or one grant call, which the target's answer repeats
	HeaderSender     = "Fulmarbend-Sender"
	HeaderAuth       = "Fulmarbend-Auth"
	HeaderHolder     = "Fulmarbend-Holder"
	HeaderTarget     = "Fulmarbend-Target"
	HeaderEpoch      = "Fulmarbend-Epoch"
)
