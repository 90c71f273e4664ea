package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Runs is what a stand-in of a backend server says it ran.
type Runs struct {
	// ByKey counts the runs for each Idempotency-Key.
	ByKey map[string]int `json:"byKey"`
	// ByID counts the runs for each X-Request-Id.
	ByID map[string]int `json:"byId"`
}

// runsTimeout bounds the reading of one server's runs.
const runsTimeout = 10 * time.Second

// maxRuns bounds the size of one server's runs, in bytes.
const maxRuns = 512 << 20

// ReadRuns reads GET /runs of each backend server and adds them up. The error
// is a *RunsError.
func ReadRuns(ctx context.Context, addresses []string) (Runs, error) {
	sum := Runs{ByKey: make(map[string]int), ByID: make(map[string]int)}
	for _, a := range addresses {
		r, err := readRuns(ctx, a)
		if err != nil {
			return Runs{}, &RunsError{Address: a, Err: err}
		}
		for k, n := range r.ByKey {
			sum.ByKey[k] += n
		}
		for id, n := range r.ByID {
			sum.ByID[id] += n
		}
	}
	return sum, nil
}

func readRuns(ctx context.Context, address string) (Runs, error) {
	ctx, cancel := context.WithTimeout(ctx, runsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
	if err != nil {
		return Runs{}, errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Runs{}, errors.WithStack(err)
	}
	var r Runs
	err = json.NewDecoder(io.LimitReader(resp.Body, maxRuns)).Decode(&r)
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	return r, errors.WithStack(err)
}

// CheckRuns compares the result with what the backend servers ran and adds
// the violations it finds: a key of this run that ran more than once, and a
// request that ran though its caller was told not-run. What an earlier check
// found is replaced.
func (r *Result) CheckRuns(runs Runs) {
	r.RunsChecked = true
	r.forget(BreachRanTwice)
	r.forget(BreachNotRunRan)
	for key, n := range runs.ByKey {
		if n > 1 && strings.HasPrefix(key, r.Run+"-") {
			r.add(Violation{BreachRanTwice, key, strconv.Itoa(n) + " runs"})
		}
	}
	for _, id := range r.NotRunIDs {
		if n := runs.ByID[id]; n > 0 {
			r.add(Violation{BreachNotRunRan, id, strconv.Itoa(n) + " runs"})
		}
	}
}

// RunsError reports a backend server whose runs could not be read.
type RunsError struct {
	// Address is the server's address.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *RunsError) Error() string { return "read runs of " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RunsError) Unwrap() error { return e.Err }
