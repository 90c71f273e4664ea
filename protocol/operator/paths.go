package operator

import "github.com/jacinthgate/jacinthgate/state/strictjson"

// Paths of the operator interface.
const (
	// PathApply takes a POST of an ApplyRequest.
	PathApply = "/v1/apply"
	// PathDocuments answers a GET with Documents. The query parameters kind
	// ("contract" or "service") and name select; both are optional.
	PathDocuments = "/v1/documents"
	// PathHistory answers a GET with History. The query parameter change
	// selects one change id, limit bounds the number of entries.
	PathHistory = "/v1/history"
	// PathStatus answers a GET with Status.
	PathStatus = "/v1/status"
	// PathProgress answers a GET with Progress. The query parameter version is
	// required; wait (a duration) lets the node hold the answer until the
	// version is in force.
	PathProgress = "/v1/progress"
	// PathDrain takes a POST of a DrainRequest.
	PathDrain = "/v1/drain"
)

// The kinds of document in the query parameter kind and in the keys of
// ApplyRequest.Base.
const (
	KindContract = "contract"
	KindService  = "service"
)

// MaxBody is the largest request body in bytes: that of a strictly decoded
// document.
const MaxBody = strictjson.MaxSize

// MaxHistory is the largest number of entries of a history answer.
const MaxHistory = 64
