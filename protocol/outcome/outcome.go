// Package outcome defines what a caller is told about its request: the
// response headers, the three outcomes and the reasons of a refusal.
package outcome

// Outcome says whether a request ran.
type Outcome string

// The outcomes.
const (
	// Answered means that the body is the backend server's whole answer.
	Answered Outcome = "answered"
	// NotRun means that the request certainly was not run. Retry-After says
	// when to come back.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Headers of requests and responses.
const (
	// HeaderOutcome carries the Outcome on every response.
	HeaderOutcome = "Jacinthgate-Outcome"
	// HeaderReason carries the Reason of a response that is not Answered.
	HeaderReason = "Jacinthgate-Reason"
	// HeaderDeadline carries the remaining time of the request in
	// milliseconds.
	HeaderDeadline = "Jacinthgate-Deadline"
	// HeaderHops carries the number of nodes that the chain of calls has
	// passed.
	HeaderHops = "Jacinthgate-Hops"
	// HeaderAttempt carries the number of the attempt, from 2, on a retry and
	// on every call made on its behalf further down the chain. Such calls earn
	// no retries. Backend servers pass it on like HeaderDeadline.
	HeaderAttempt = "Jacinthgate-Attempt"
	// HeaderOrganisation and HeaderClass tell the gate how the entry proxy
	// classified the request.
	HeaderOrganisation = "Jacinthgate-Organisation"
	// HeaderClass names the class of the request.
	HeaderClass = "Jacinthgate-Class"
	// HeaderKind carries the class's kind, which decides the queue's order.
	HeaderKind = "Jacinthgate-Kind"
	// HeaderService names the service that the entry proxy meant, so that a
	// gate refuses a request that stale routing sent to the wrong host.
	HeaderService = "Jacinthgate-Service"
	// HeaderLoad carries the gate's load on every response: slots in use,
	// slots, queue length, what a request takes on average in microseconds, and how slow
	// the host is at this moment in percent, as "used/slots/queued/work/slowdown". The
	// last two may be left out.
	HeaderLoad = "Jacinthgate-Load"
	// HeaderTypical carries what requests of the same kind take on average at the
	// gate's backend server, in microseconds.
	HeaderTypical = "Jacinthgate-Typical-Micros"
	// HeaderServedBy names the node whose backend server answered.
	HeaderServedBy = "Jacinthgate-Served-By"
	// HeaderInstance names the start of the backend server that the entry proxy
	// meant; another one refuses the request.
	HeaderInstance = "Jacinthgate-Instance"
	// HeaderCaller names the service of the host where the request began.
	HeaderCaller = "Jacinthgate-Caller"
	// HeaderUrgency carries the request's Urgency.
	HeaderUrgency = "Jacinthgate-Urgency"
	// HeaderLinkWait carries how long a large answer may wait for the link of the
	// gate's host, in milliseconds.
	HeaderLinkWait = "Jacinthgate-Link-Wait"
	// HeaderLinkBacklog carries how long the link of the gate's host is busy with
	// large answers, in milliseconds, where a request is refused for that.
	HeaderLinkBacklog = "Jacinthgate-Link-Backlog"
	// HeaderFingerprint carries the fingerprint of what the request asks for.
	HeaderFingerprint = "Jacinthgate-Fingerprint"
	// HeaderStartWithin carries within how many milliseconds the request must be handed
	// to the backend server: the proof that its caller's key holds ends then.
	HeaderStartWithin = "Jacinthgate-Start-Within"
	// HeaderQuota marks a message between nodes about the quotas of organisations.
	HeaderQuota = "Jacinthgate-Quota"
	// HeaderElsewhere is "1" on a request that the gate may refuse since its host is slow
	// at this moment: the entry node then sends it to another backend server.
	HeaderElsewhere = "Jacinthgate-Elsewhere"
	// HeaderReached is "1" on a gate's response when the request was sent to
	// the backend server, whatever came of it.
	HeaderReached = "Jacinthgate-Reached"
	// HeaderRepeat is "1" on a request that has reached a backend server before: the calls
	// that this run makes count as repeats too.
	HeaderRepeat = "Jacinthgate-Repeat"
	// HeaderStrain carries on a gate's response which part of the bound on repeats is taken
	// at the service that repeated runs on its host call, in percent; without it they call
	// none.
	HeaderStrain = "Jacinthgate-Strain"
	// HeaderAsked is "1" on a request whose Expect header was added by the entry node: the
	// body follows once the gate has a slot for it.
	HeaderAsked = "Jacinthgate-Asked"
	// HeaderIdempotencyKey is the caller's key of a request that must run at
	// most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "1" on an answer that an earlier request with the same
	// Idempotency-Key was given.
	HeaderReplayed = "Jacinthgate-Replayed"
)

// Reason is the machine-readable reason of a refusal or an unknown outcome.
type Reason string

// The reasons.
const (
	ReasonNotReady         Reason = "not-ready"         // the node holds no whole version yet
	ReasonLeaving          Reason = "leaving"           // the node ends before the request's deadline
	ReasonNoOrganisation   Reason = "no-organisation"   // no contract has this host
	ReasonNoRoute          Reason = "no-route"          // the contract has no matching route
	ReasonUnknownKey       Reason = "unknown-key"       // no organisation holds the caller's key
	ReasonUnproved         Reason = "unproved"          // the configuration isn't proved to be current
	ReasonNoEndpoint       Reason = "no-endpoint"       // no backend server may take the request
	ReasonRateLimited      Reason = "rate-limited"      // the contract's rate is used up
	ReasonConcurrency      Reason = "concurrency"       // the contract's concurrency is used up
	ReasonShed             Reason = "shed"              // overload; the least important first
	ReasonQueueFull        Reason = "queue-full"        // the gate's queue is full
	ReasonHostSlow         Reason = "host-slow"         // the host is slow at this moment, and others may not be
	ReasonLinkFull         Reason = "link-full"         // the host's link is full of large answers
	ReasonDeadline         Reason = "deadline"          // the deadline has passed or can't be met
	ReasonDraining         Reason = "draining"          // the backend server is leaving
	ReasonWrongService     Reason = "wrong-service"     // the host offers another service
	ReasonLoop             Reason = "loop"              // too many hops
	ReasonPlatform         Reason = "platform"          // the platform is away and the class needs it
	ReasonInProgress       Reason = "in-progress"       // the same key is running
	ReasonKeyReused        Reason = "key-reused"        // the key belongs to another request
	ReasonOutcomeLost      Reason = "outcome-lost"      // the key may have run; it never runs again
	ReasonAnswerNotKept    Reason = "answer-not-kept"   // the key has run; its answer was too large to keep
	ReasonBackendFailed    Reason = "backend-failed"    // the connection broke after the request was sent
	ReasonBackendRefused   Reason = "backend-refused"   // the backend server refused before running
	ReasonQuarantined      Reason = "quarantined"       // backend servers have crashed under such requests
	ReasonWithdrawn        Reason = "withdrawn"         // the backend server is of a version that gets nothing
	ReasonEvacuated        Reason = "evacuated"         // the backend server's availability zone is evacuated
	ReasonNoRegion         Reason = "no-region"         // no backend server in the regions to which the request is confined
	ReasonRouteFault       Reason = "route-fault"       // the route's configuration can't be used
	ReasonMalformed        Reason = "malformed"         // the request can't be understood
	ReasonTooLarge         Reason = "too-large"         // headers exceed the limit
	ReasonOlderUnreachable Reason = "older-unreachable" // the older system did not accept the connection
	ReasonCancelled        Reason = "cancelled"         // the caller went away
)
