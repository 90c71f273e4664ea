package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
)

// fakeDelegate counts its calls and returns err from each. Progress reports the
// version as in force from call inForceFrom on, or never if inForceFrom is 0.
type fakeDelegate struct {
	calls       int
	inForceFrom int
	err         error
}

func (f *fakeDelegate) Apply(context.Context, *operator.ApplyRequest) (*operator.ApplyResponse, error) {
	f.calls++
	return &operator.ApplyResponse{}, f.err
}

func (f *fakeDelegate) Documents(string, string) (*operator.Documents, error) {
	f.calls++
	return &operator.Documents{}, f.err
}

func (f *fakeDelegate) History(context.Context, string, int) (*operator.History, error) {
	f.calls++
	return &operator.History{}, f.err
}

func (f *fakeDelegate) Status(context.Context) (*operator.Status, error) {
	f.calls++
	return &operator.Status{}, f.err
}

func (f *fakeDelegate) Progress(context.Context, uint64) (*operator.Progress, error) {
	f.calls++
	return &operator.Progress{InForce: f.inForceFrom > 0 && f.calls >= f.inForceFrom}, f.err
}

func (f *fakeDelegate) Drain(context.Context, *operator.DrainRequest) error {
	f.calls++
	return f.err
}

// send serves a request with f as the delegate, and returns the status code and
// problem of the response.
func send(f *fakeDelegate, method, target, body string) (int, operator.Problem) {
	w := httptest.NewRecorder()
	New(f).ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	var p operator.Problem
	_ = json.Unmarshal(w.Body.Bytes(), &p) // a response of net/http itself has none
	return w.Code, p
}

func TestBadInputDoesNotReachDelegate(t *testing.T) {
	apply, drain := operator.PathApply, operator.PathDrain
	contract := `{"changeId":"a","batch":{"contracts":[{"organisation":7}]}}`
	cases := []struct {
		name, method, target, body string
		status                     int
		code                       operator.Code
		faultPath                  string
	}{
		{"no JSON", "POST", apply, "{", 400, operator.CodeMalformed, ""},
		{"trailing", "POST", drain, `{"node":"a","drain":true}{}`, 400, operator.CodeMalformed, ""},
		{"unknown key", "POST", drain, `{"node":"a","drain":true,"drian":false}`, 400, operator.CodeMalformed, "drian"},
		{"other case", "POST", drain, `{"Node":"a","drain":true}`, 400, operator.CodeMalformed, "Node"},
		{"double key", "POST", drain, `{"node":"a","node":"b","drain":true}`, 400, operator.CodeMalformed, "node"},
		{"missing key", "POST", drain, `{"node":"a"}`, 400, operator.CodeMalformed, "drain"},
		{"null", "POST", apply, `{"changeId":"a","batch":{},"base":null}`, 400, operator.CodeMalformed, "base"},
		{"document", "POST", apply, contract, 422, operator.CodeInvalid, "batch.contracts[0].organisation"},
		{"change id", "POST", apply, `{"changeId":"../x","batch":{}}`, 400, operator.CodeMalformed, ""},
		{"node name", "POST", drain, `{"node":"A/B","drain":true}`, 400, operator.CodeMalformed, ""},
		{"oversize", "POST", apply, strings.Repeat(" ", operator.MaxBody+1), 400, operator.CodeMalformed, ""},
		{"deep", "POST", apply, strings.Repeat("[", 100_000), 400, operator.CodeMalformed, ""},
		{"kind", "GET", operator.PathDocuments + "?kind=secret", "", 400, operator.CodeMalformed, ""},
		{"name alone", "GET", operator.PathDocuments + "?name=a", "", 400, operator.CodeMalformed, ""},
		{"bad name", "GET", operator.PathDocuments + "?kind=service&name=..%2Fa", "", 400, operator.CodeMalformed, ""},
		{"change", "GET", operator.PathHistory + "?change=..%2Flease", "", 400, operator.CodeMalformed, ""},
		{"limit", "GET", operator.PathHistory + "?limit=65", "", 400, operator.CodeMalformed, ""},
		{"version", "GET", operator.PathProgress + "?version=-1", "", 400, operator.CodeMalformed, ""},
		{"wait", "GET", operator.PathProgress + "?version=1&wait=-1s", "", 400, operator.CodeMalformed, ""},
		{"method", "GET", apply, "", http.StatusMethodNotAllowed, "", ""},
		{"path", "GET", "/v1/other", "", http.StatusNotFound, "", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := new(fakeDelegate)
			status, p := send(f, tc.method, tc.target, tc.body)
			must.Eq(t, tc.status, status)
			must.Eq(t, tc.code, p.Code)
			must.Zero(t, f.calls)
			if tc.faultPath != "" {
				must.Eq(t, tc.faultPath, p.Faults[0].Path)
			}
		})
	}
}

func TestErrorsKeepTheirCode(t *testing.T) {
	conflict := &operator.Problem{Code: operator.CodeConflict, Document: "service/a", Revision: 4}
	status, p := send(&fakeDelegate{err: errors.Wrap(conflict, "wrapped")}, "GET", operator.PathStatus, "")
	must.Eq(t, http.StatusConflict, status)
	must.Eq(t, *conflict, p)
	status, p = send(&fakeDelegate{err: context.Canceled}, "GET", operator.PathStatus, "")
	must.Eq(t, http.StatusServiceUnavailable, status)
	must.Eq(t, operator.CodeRefused, p.Code)
}

func TestProgressIsHeldUntilInForce(t *testing.T) {
	cases := []struct {
		name, wait string
		inForce    int
		want       time.Duration
	}{
		{"at once", "5s", 1, 0},
		{"later", "5s", 3, 2 * pollInterval},
		{"never", "5s", 0, 5 * time.Second},
		{"bounded", "1h", 0, MaxWait},
		{"no wait", "0s", 0, 0},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			status, _ := send(&fakeDelegate{inForceFrom: tc.inForce}, "GET", operator.PathProgress+"?version=8&wait="+tc.wait, "")
			must.Eq(t, http.StatusOK, status)
			must.Eq(t, tc.want, time.Since(start), must.Sprint(tc.name))
		})
	}
}
