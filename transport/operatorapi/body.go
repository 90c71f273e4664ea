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

// bodyTimeout bounds the time to read a request's body, so that a slow client can't
// occupy a connection.
const bodyTimeout = 10 * time.Second

// batchPath is the JSON path of a change's documents in its request.
const batchPath = "batch"

// readJSON decodes a request's body as strictly as documents are decoded: it rejects
// unknown or duplicate keys, nulls and trailing data, and reports all faults at
// once.
func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))    // without a deadline a slow read only fails later
	defer func() { _ = control.SetReadDeadline(time.Time{}) }() // the server sets its own deadline for the next request
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

// bodyProblem returns the problem for a body with faults. Its code is CodeInvalid if
// all faults are in the documents, as a check of the documents alone would find
// them too, and CodeMalformed otherwise.
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

// malformed returns a problem with CodeMalformed.
func malformed(message string) *operator.Problem {
	return &operator.Problem{Code: operator.CodeMalformed, Message: message}
}
