// Package outcome defines how the result of a request is reported to its
// caller: the three outcomes and the reasons of a refusal. It also defines the
// headers of requests and responses between nodes.
package outcome

// Outcome is the value of HeaderOutcome: whether a request ran.
type Outcome string

// The outcomes.
const (
	// Answered means that the response is the backend server's, complete.
	Answered Outcome = "answered"
	// NotRun means that the request certainly did not run. Retry-After carries
	// the delay after which the caller may retry it.
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
	// HeaderDeadline carries the time until the request's deadline, in
	// milliseconds.
	HeaderDeadline = "Jacinthgate-Deadline"
	// HeaderHops carries the number of nodes that the chain of calls has passed
	// through.
	HeaderHops = "Jacinthgate-Hops"
	// HeaderAttempt carries the number of the attempt, from 2, on a retry and
	// on every nested call of it. Such requests add nothing to the retry budget.
	// Backend servers copy the header to the calls that they make, like
	// HeaderDeadline.
	HeaderAttempt = "Jacinthgate-Attempt"
	// HeaderOrganisation names the organisation to which the entry proxy has
	// assigned the request.
	HeaderOrganisation = "Jacinthgate-Organisation"
	// HeaderClass names the class to which the entry proxy has assigned the
	// request.
	HeaderClass = "Jacinthgate-Class"
	// HeaderKind carries the kind of the class, which determines the order in the
	// gate's queue.
	HeaderKind = "Jacinthgate-Kind"
	// HeaderService names the service that the request is for, so that a gate
	// refuses a request that stale routing has sent to the wrong host.
	HeaderService = "Jacinthgate-Service"
	// HeaderLoad carries the gate's load on every response, as
	// "used/slots/queued/work/slowdown": slots in use, slots, queue length, mean service
	// time in microseconds, and the host's current slowdown in percent. The last two may
	// be omitted.
	HeaderLoad = "Jacinthgate-Load"
	// HeaderMeanServiceTime carries the mean service time of the request's workload at the
	// gate's backend server, in microseconds.
	HeaderMeanServiceTime = "Jacinthgate-Typical-Micros"
	// HeaderServedBy names the node whose backend server has sent the response.
	HeaderServedBy = "Jacinthgate-Served-By"
	// HeaderInstance names the instance of the backend server that the entry proxy
	// has chosen. The gate refuses the request if another instance runs.
	HeaderInstance = "Jacinthgate-Instance"
	// HeaderCaller names the service of the host that the request comes from.
	HeaderCaller = "Jacinthgate-Caller"
	// HeaderUrgency carries the request's Urgency.
	HeaderUrgency = "Jacinthgate-Urgency"
	// HeaderLinkWait carries how long a large response may wait for the link of the
	// gate's host, in milliseconds.
	HeaderLinkWait = "Jacinthgate-Link-Wait"
	// HeaderLinkBacklog carries the time that the link of the gate's host needs for its
	// backlog of large responses, in milliseconds. It is set if a request is refused
	// because of that backlog.
	HeaderLinkBacklog = "Jacinthgate-Link-Backlog"
	// HeaderStatedLimit carries, on a request, the rate limit that the entry node knows the
	// backend server to have stated, as "limit/age": requests per second, and the time in
	// milliseconds since a response confirmed it.
	HeaderStatedLimit = "Jacinthgate-Stated-Limit"
	// HeaderLimitWait carries, on a refusal because of that limit, the time in milliseconds
	// until the gate expects to admit another request.
	HeaderLimitWait = "Jacinthgate-Limit-Wait"
	// HeaderFingerprint carries the fingerprint of the request, by which requests that
	// crash backend servers are recognised.
	HeaderFingerprint = "Jacinthgate-Fingerprint"
	// HeaderTrial is "1" on a quarantined request that is sent as the trial of its
	// quarantine: the gate lets it pass.
	HeaderTrial = "Jacinthgate-Trial"
	// HeaderStartWithin carries the time, in milliseconds, within which the request must
	// be sent to the backend server. After it, the proof that the caller's key is valid
	// has expired.
	HeaderStartWithin = "Jacinthgate-Start-Within"
	// HeaderQuota marks a message between nodes about the quotas of organisations.
	HeaderQuota = "Jacinthgate-Quota"
	// HeaderReroutable is "1" on a request that the gate may refuse because its host is
	// currently slow. The entry node then reroutes it to another backend server.
	HeaderReroutable = "Jacinthgate-Elsewhere"
	// HeaderReached is "1" on a gate's response if the request was sent to the backend
	// server, whatever the result.
	HeaderReached = "Jacinthgate-Reached"
	// HeaderRepeat is "1" on a request that has reached a backend server before, and on
	// the nested calls of such a request, which count as repeats too.
	HeaderRepeat = "Jacinthgate-Repeat"
	// HeaderBudgetUsage carries, on a gate's response, the percentage of the retry budget that
	// is in use at the service called by repeated runs on the gate's host; of several
	// such services, at the one with the highest usage. It is absent if there are none.
	HeaderBudgetUsage = "Jacinthgate-Strain"
	// HeaderExpectAdded is "1" on a request whose Expect header was added by the entry node,
	// which sends the body once the gate has a slot for the request.
	HeaderExpectAdded = "Jacinthgate-Asked"
	// HeaderIdempotencyKey is the caller's key of a request that must run at
	// most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "1" on the stored response to an earlier request with the same
	// Idempotency-Key.
	HeaderReplayed = "Jacinthgate-Replayed"
)

// Reason is the machine-readable reason of a refusal or an unknown outcome.
type Reason string

// The reasons.
const (
	ReasonNotReady         Reason = "not-ready"         // the node holds no full version yet
	ReasonLeaving          Reason = "leaving"           // the node shuts down before the request's deadline
	ReasonNoOrganisation   Reason = "no-organisation"   // no contract lists the request's host name
	ReasonNoRoute          Reason = "no-route"          // the contract has no matching route
	ReasonUnknownKey       Reason = "unknown-key"       // no organisation holds the caller's key
	ReasonUnproved         Reason = "unproved"          // there is no valid proof that the configuration is current
	ReasonNoEndpoint       Reason = "no-endpoint"       // no backend server is available for the request
	ReasonRateLimited      Reason = "rate-limited"      // the contract's rate is used up
	ReasonConcurrency      Reason = "concurrency"       // the contract's concurrency is used up
	ReasonShed             Reason = "shed"              // load shedding under overload, least important requests first
	ReasonQueueFull        Reason = "queue-full"        // the gate's queue is full
	ReasonServerLimit      Reason = "server-limit"      // the rate limit that the backend server states leaves no room
	ReasonHostSlow         Reason = "host-slow"         // the host is currently slow; others may not be
	ReasonLinkFull         Reason = "link-full"         // the host's link has a backlog of large responses
	ReasonDeadline         Reason = "deadline"          // the deadline has passed or can't be met
	ReasonDraining         Reason = "draining"          // the backend server is being taken out of service
	ReasonWrongService     Reason = "wrong-service"     // the host offers another service
	ReasonLoop             Reason = "loop"              // too many hops
	ReasonPlatform         Reason = "platform"          // the platform is unavailable and the class needs it
	ReasonInProgress       Reason = "in-progress"       // a request with the same idempotency key is running
	ReasonKeyReused        Reason = "key-reused"        // the idempotency key was used for a different request
	ReasonOutcomeLost      Reason = "outcome-lost"      // the request with this key may have run; it never runs again
	ReasonAnswerNotKept    Reason = "answer-not-kept"   // the request with this key has run; its response was too large to store
	ReasonBackendFailed    Reason = "backend-failed"    // the connection was lost after the request was sent
	ReasonBackendRefused   Reason = "backend-refused"   // the backend server refused the request before running it
	ReasonQuarantined      Reason = "quarantined"       // requests like this one have crashed backend servers
	ReasonWithdrawn        Reason = "withdrawn"         // the backend server runs a withdrawn version, which receives no requests
	ReasonEvacuated        Reason = "evacuated"         // the backend server's availability zone is evacuated
	ReasonNoRegion         Reason = "no-region"         // no backend server in the regions to which the request is confined
	ReasonRouteFault       Reason = "route-fault"       // the route's configuration can't be used
	ReasonMalformed        Reason = "malformed"         // the request is malformed
	ReasonTooLarge         Reason = "too-large"         // headers exceed the limit
	ReasonOlderUnreachable Reason = "older-unreachable" // the older system did not accept the connection
	ReasonCancelled        Reason = "cancelled"         // the caller has disconnected
)
