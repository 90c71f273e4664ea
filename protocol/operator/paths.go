package operator

// Paths of the operator interface.
const (
	// PathApply takes a POST of an ApplyRequest.
	PathApply = "/v1/apply"
	// PathDocuments answers a GET with Documents. The query parameters kind
	// ("contract" or "service") and name select; both are optional.
	PathDocuments = "/v1/documents"
	// PathHistory answers a GET with History. The query parameter change
	// selects one change id.
	PathHistory = "/v1/history"
	// PathStatus answers a GET with Status.
	PathStatus = "/v1/status"
	// PathProgress answers a GET with Progress. The query parameter version is
	// required; wait (a duration) lets the node hold the answer until the
	// progress changes.
	PathProgress = "/v1/progress"
	// PathDrain takes a POST of a DrainRequest.
	PathDrain = "/v1/drain"
)

// MaxBody is the largest request body in bytes.
const MaxBody = 4 << 20
