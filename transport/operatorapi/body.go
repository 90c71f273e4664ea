package operatorapi

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// bodyTimeout bounds reading a request's body, so that a slow sender can't hold
// a connection.
const bodyTimeout = 10 * time.Second

// batchPath is where the documents of a change are in its request.
const batchPath = "batch"

// readJSON decodes the body as strictly as documents: unknown or double keys,
// nulls and trailing data are refused, all at once.
func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))    // without one the read is only slower to fail
	defer func() { _ = control.SetReadDeadline(time.Time{}) }() // the server sets its own for the next request
	raw, err := io.ReadAll(io.LimitReader(r.Body, operator.MaxBody+1))
	if err != nil {
		return malformed("body: " + err.Error())
	}
	if len(raw) > operator.MaxBody {
		return malformed("body: larger than " + strconv.Itoa(operator.MaxBody) + " bytes")
	}
	if faults := strictjson.Decode(raw, into); len(faults) > 0 {
		return bodyProblem(faults)
	}
	return nil
}

// bodyProblem reports the faults of a body: invalid where only the documents
// have some, as a check of the documents alone would find them too.
func bodyProblem(faults strictjson.Faults) *operator.Problem {
	p := &operator.Problem{Code: operator.CodeInvalid, Message: "the documents have faults"}
	for _, f := range faults {
		if !strings.HasPrefix(f.Path, batchPath) {
			p.Code, p.Message = operator.CodeMalformed, "the request has faults"
		}
		p.Faults = append(p.Faults, operator.Fault{Path: f.Path, Found: f.Found, Allowed: f.Allowed})
	}
	return p
}

func malformed(message string) *operator.Problem {
	return &operator.Problem{Code: operator.CodeMalformed, Message: message}
}
