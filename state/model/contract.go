package model

// Contract is the document that defines all limits on one organisation's
// traffic. Contracts are immutable once they are part of a snapshot.
type Contract struct {
	// Organisation is the organisation's name, unique on the site. All names
	// in a contract consist of lower-case letters, digits and hyphens, and
	// don't start with a hyphen.
	Organisation string `json:"organisation" cbor:"1,keyasint" jsonschema:"pattern=^[a-z0-9][a-z0-9-]*$,maxLength=63"`
	// Hosts lists the HTTP Host values, in lower case and without port, that
	// identify the organisation's callers. A host belongs to one contract only.
	Hosts []string `json:"hosts" cbor:"2,keyasint" jsonschema:"minItems=1,maxItems=64,uniqueItems=true"`
	// HandledBy is the system that handles the organisation's traffic. A route may
	// override it.
	HandledBy System `json:"handledBy" cbor:"3,keyasint" jsonschema:"enum=mesh,enum=older"`
	// Rate limits the organisation's requests over the whole fleet.
	Rate Rate `json:"rate" cbor:"4,keyasint"`
	// Concurrency limits the organisation's requests in flight over the whole
	// fleet.
	Concurrency int `json:"concurrency" cbor:"5,keyasint" jsonschema:"minimum=1,maximum=10000000"`
	// Weight is the organisation's share of spare capacity, relative to the
	// weights of the other organisations.
	Weight int `json:"weight" cbor:"6,keyasint" jsonschema:"minimum=1,maximum=1000"`
	// Classes are the request classes, to which routes refer by name. Only an
	// organisation that the older system handles may have none.
	Classes []Class `json:"classes" cbor:"7,keyasint" jsonschema:"maxItems=16"`
	// Routes are matched in order; the first match applies. Only an organisation
	// that the older system handles may have none.
	Routes []Route `json:"routes" cbor:"8,keyasint" jsonschema:"maxItems=256"`
}

// System names the system that handles an organisation's or a route's traffic.
type System string

// The systems that may handle traffic.
const (
	// SystemMesh is this mesh.
	SystemMesh System = "mesh"
	// SystemOlder is the older system that shares the site.
	SystemOlder System = "older"
)

// Rate is a rate limit, enforced by a token bucket.
type Rate struct {
	// PerSecond is the refill rate in requests per second.
	PerSecond float64 `json:"perSecond" cbor:"1,keyasint" jsonschema:"exclusiveMinimum=0,maximum=10000000"`
	// Burst is the bucket's size in requests.
	Burst int `json:"burst" cbor:"2,keyasint" jsonschema:"minimum=1,maximum=10000000"`
}

// ClassKind is the kind of work of a class. It determines the class's urgency
// and how its requests are shed under overload.
type ClassKind string

// The kinds of class, most important first. A contract's class can't have the
// kind KindUpload; only the platform's routes do.
const (
	// KindNonRepeatable is work that must run at most once (a booking, a paid
	// order).
	KindNonRepeatable ClassKind = "non-repeatable"
	// KindUpload is non-repeatable work with a large request body.
	KindUpload ClassKind = "upload"
	// KindInteractive is work for which a person waits (a screen, an order status).
	KindInteractive ClassKind = "interactive"
	// KindBulk is slow transfer (firmware, artwork proofs).
	KindBulk ClassKind = "bulk"
	// KindEventual is work between services that only has to arrive eventually.
	KindEventual ClassKind = "eventual"
)

// NumRanks is the number of ranks of kinds: KindUpload shares the rank of
// KindNonRepeatable.
const NumRanks = 4

// Rank returns the kind's position in the order of importance, from 0 for the
// most important to NumRanks-1. An unknown kind ranks as the least important.
func (k ClassKind) Rank() int {
	switch k {
	case KindNonRepeatable, KindUpload:
		return 0
	case KindInteractive:
		return 1
	case KindBulk:
		return 2
	default:
		return NumRanks - 1
	}
}

// Repeatable reports whether a request of the kind may run more than once.
func (k ClassKind) Repeatable() bool { return k != KindNonRepeatable && k != KindUpload }

// Class is a request class of one organisation.
type Class struct {
	// Name is unique within the contract.
	Name string `json:"name" cbor:"1,keyasint" jsonschema:"pattern=^[a-z0-9][a-z0-9-]*$,maxLength=63"`
	// Kind determines the importance and the order of load shedding.
	Kind ClassKind `json:"kind" cbor:"2,keyasint" jsonschema:"enum=non-repeatable,enum=interactive,enum=bulk,enum=eventual"`
	// Rate limits the class over the whole fleet. Without it only the
	// organisation's rate applies.
	Rate *Rate `json:"rate,omitempty" cbor:"3,keyasint,omitempty"`
	// Concurrency limits the class's requests in flight over the whole fleet.
	// Without it, or with 0, only the organisation's limit applies.
	Concurrency int `json:"concurrency,omitempty" cbor:"4,keyasint,omitempty" jsonschema:"minimum=0,maximum=10000000"`
	// Reserve is the part of the organisation's concurrency, in requests, that
	// only this class may use. The reserves of all classes together must not
	// exceed the organisation's concurrency.
	Reserve int `json:"reserve,omitempty" cbor:"5,keyasint,omitempty" jsonschema:"minimum=0,maximum=10000000"`
	// Weight is the class's share of the organisation's spare capacity.
	Weight int `json:"weight" cbor:"6,keyasint" jsonschema:"minimum=1,maximum=1000"`
	// Deadline is the longest time a request of the class may take, 1ms to
	// 1h.
	Deadline Duration `json:"deadline" cbor:"7,keyasint"`
	// Repeatable is true if requests of the class are idempotent and may be
	// retried after an unknown outcome. It must be false for the kind
	// non-repeatable.
	Repeatable bool `json:"repeatable" cbor:"8,keyasint"`
	// RetryBudget bounds retries. Without it there are none. A request of a
	// class that is not repeatable is retried only if the first attempt
	// certainly was not run.
	RetryBudget *RetryBudget `json:"retryBudget,omitempty" cbor:"9,keyasint,omitempty"`
}

// RetryBudget bounds how many retries a class may add to the load.
type RetryBudget struct {
	// Ratio is the number of retries allowed for each first attempt.
	Ratio float64 `json:"ratio" cbor:"1,keyasint" jsonschema:"minimum=0,maximum=1"`
	// MinPerSecond is the number of retries per second over the whole fleet
	// that are allowed whatever the ratio, so that a class with little traffic
	// may still retry.
	MinPerSecond float64 `json:"minPerSecond" cbor:"2,keyasint" jsonschema:"minimum=0,maximum=1000"`
}

// Route sends matching requests to a service as one class.
type Route struct {
	// Name is unique within the contract.
	Name string `json:"name" cbor:"1,keyasint" jsonschema:"pattern=^[a-z0-9][a-z0-9-]*$,maxLength=63"`
	// Methods lists the HTTP methods that match. Without it every method
	// matches.
	Methods []string `json:"methods,omitempty" cbor:"2,keyasint,omitempty" jsonschema:"uniqueItems=true,enum=GET,enum=HEAD,enum=POST,enum=PUT,enum=PATCH,enum=DELETE,enum=OPTIONS"`
	// PathPrefix matches whole segments at the start of the request path. It
	// starts with a slash and contains no escapes, empty segments or dot segments.
	PathPrefix string `json:"pathPrefix" cbor:"3,keyasint" jsonschema:"pattern=^/,maxLength=1024"`
	// Service is the name of a service in the same version.
	Service string `json:"service" cbor:"4,keyasint" jsonschema:"pattern=^[a-z0-9][a-z0-9-]*$,maxLength=63"`
	// Class is the name of a class of the same contract.
	Class string `json:"class" cbor:"5,keyasint" jsonschema:"pattern=^[a-z0-9][a-z0-9-]*$,maxLength=63"`
	// HandledBy overrides the contract's value for this route. Without it the
	// contract's value applies.
	HandledBy System `json:"handledBy,omitempty" cbor:"6,keyasint,omitempty" jsonschema:"enum=mesh,enum=older"`
}

// Service describes one service. Which backend servers offer it is not part
// of the configuration: they announce themselves (see state/endpoint).
type Service struct {
	// Name is the service's unique name.
	Name string `json:"name" cbor:"1,keyasint" jsonschema:"pattern=^[a-z0-9][a-z0-9-]*$,maxLength=63"`
	// SlowStart is the time over which a cold backend server's share of
	// requests rises to its full share, 0s to 10m. With 0s it gets the full
	// share at once.
	SlowStart Duration `json:"slowStart" cbor:"2,keyasint"`
	// ProbePath is the path of health probes. A healthy backend server
	// responds to it with status 200. Without it there are no probes.
	ProbePath string `json:"probePath,omitempty" cbor:"3,keyasint,omitempty" jsonschema:"pattern=^/,maxLength=1024"`
	// ProbeInterval is the time between probes, 100ms to 10m. It must be set
	// if and only if ProbePath is.
	ProbeInterval Duration `json:"probeInterval,omitempty" cbor:"4,keyasint,omitempty"`
	// OlderSlots is the number of slots on each backend server that are reserved
	// for the older system.
	OlderSlots int `json:"olderSlots,omitempty" cbor:"5,keyasint,omitempty" jsonschema:"minimum=0,maximum=10000"`
	// MaxEjected is the largest fraction of the backend servers that may be
	// ejected for failures at the same time. At least a tenth always remains.
	MaxEjected float64 `json:"maxEjected" cbor:"6,keyasint" jsonschema:"minimum=0,maximum=0.9"`
	// QueueLength bounds the queue in front of one backend server, in
	// requests. With 0 there is no queue.
	QueueLength int `json:"queueLength,omitempty" cbor:"7,keyasint,omitempty" jsonschema:"minimum=0,maximum=10000"`
}
