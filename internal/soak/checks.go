package soak

// Check is one promise that a soak looks at.
type Check string

// The checks.
const (
	// CheckWhole: a success is the backend server's own whole answer to this
	// request.
	CheckWhole Check = "whole-own-answer"
	// CheckOnce: a request that isn't idempotent runs once at most.
	CheckOnce Check = "at-most-once"
	// CheckNotRun: a refusal that promises "not run" is true.
	CheckNotRun Check = "not-run-is-true"
	// CheckAsked: backend servers get only requests that callers have sent, as
	// they were sent, and the service where they began.
	CheckAsked Check = "only-what-was-asked"
	// CheckDrain: a backend server gets nothing after its drain.
	CheckDrain Check = "drained"
	// CheckPlanned: planned work, also beside faults of the store, cuts no request that a
	// backend server runs, nor puts an answer of the node in place of the one to come.
	CheckPlanned Check = "planned-work-cuts-nothing"
	// CheckEnds: likewise each request that was written whole is answered, or its
	// connection ends at once.
	CheckEnds Check = "ends-with-an-answer"
	// CheckStop: a node that is asked to stop ends by itself in time.
	CheckStop Check = "stops-in-time"
	// CheckVersion: a node never goes back to an older configuration, and the
	// newest one is in force in time.
	CheckVersion Check = "newest-version"
	// CheckRecovery: every node serves again after the last disturbance.
	CheckRecovery Check = "recovery"
	// CheckQuarantine: a request under which three backend servers have ended reaches
	// no more than three again.
	CheckQuarantine Check = "quarantine"
	// CheckKeys: backend servers are told who holds a caller's key and never the key, and
	// run nothing under one that was taken away; a key that holds is not turned away.
	CheckKeys Check = "keys"
	// CheckQuota: an organisation gets no more than its quota over all nodes.
	CheckQuota Check = "quota"
	// CheckCold: a cold backend server gets no more requests in any second than its limit.
	CheckCold Check = "cold"
	// CheckEvacuated: the backend servers of an evacuated zone get no requests.
	CheckEvacuated Check = "evacuated"
	// CheckLimit: a backend server gets no more than the limit that it states, in sum over the
	// nodes that have passed the statement on.
	CheckLimit Check = "stated-limit"
	// CheckLimitEnds: a limit that is no longer stated is no longer kept.
	CheckLimitEnds Check = "stated-limit-ends"
	// CheckLeaving: a backend server that states in its answers that it leaves gets nothing more
	// from nodes that have passed that on.
	CheckLeaving Check = "stated-leaving"
	// CheckRows: what nodes have written of themselves is in the store again after it came
	// back from an older copy.
	CheckRows Check = "own-rows"
	// CheckReady: a request whose backend server has written a whole answer gets an answer.
	CheckReady Check = "ready-answers-arrive"
	// CheckBreaks: an answer that breaks off takes no other request with it that was passed
	// on to a backend server.
	CheckBreaks Check = "breaks-off-alone"
	// CheckKept: a node that isn't killed itself ends no connection on which a request was passed
	// on, but with its answer, whatever else goes on.
	CheckKept Check = "passed-on-gets-an-answer"
	// CheckLate: a backend server that reads a body late isn't taken for lost.
	CheckLate Check = "late-bodies-arrive"
	// CheckExplained: the logs tell of each refused or failed request by its id.
	CheckExplained Check = "explained"
)
