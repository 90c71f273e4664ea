package operator

import "github.com/jacinthgate/jacinthgate/state/strictjson"

// Paths of the operator interface.
const (
	// PathApply accepts a POST of an ApplyRequest and returns an ApplyResponse.
	PathApply = "/v1/apply"
	// PathDocuments returns Documents for a GET. The query parameters kind
	// ("contract" or "service") and name filter the documents; both are optional.
	PathDocuments = "/v1/documents"
	// PathHistory returns History for a GET. The query parameter change selects
	// one change id; limit bounds the number of entries.
	PathHistory = "/v1/history"
	// PathStatus returns Status for a GET.
	PathStatus = "/v1/status"
	// PathProgress returns Progress for a GET. The query parameter version is
	// required. With wait (a duration) the request waits at most that long for the
	// version to come into force.
	PathProgress = "/v1/progress"
	// PathDrain accepts a POST of a DrainRequest.
	PathDrain = "/v1/drain"
)

// The kinds of document, as used in the query parameter kind and in the keys of
// ApplyRequest.Base.
const (
	KindContract = "contract"
	KindService  = "service"
)

// MaxBody is the maximum size of a request body in bytes: the limit of the
// strict JSON decoder.
const MaxBody = strictjson.MaxSize

// MaxHistory is the maximum number of entries of a History.
const MaxHistory = 64
