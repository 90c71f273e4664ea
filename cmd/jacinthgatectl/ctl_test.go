package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/operatorapi"
)

// fakeNode answers as the test says. It accepts each change id once.
type fakeNode struct {
	mu       sync.Mutex
	problem  *operator.Problem
	progress operator.Progress
	status   operator.Status
	applied  []operator.ApplyRequest
	drains   []operator.DrainRequest
	// lose drops the answers to the first changes, after they took effect.
	lose int
}

func (f *fakeNode) Apply(_ context.Context, req *operator.ApplyRequest) (*operator.ApplyResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, *req)
	if f.problem != nil {
		return nil, f.problem
	}
	return &operator.ApplyResponse{ChangeID: req.ChangeID, Version: 8, Repeated: len(f.applied) > 1}, nil
}

func (f *fakeNode) sent() []operator.ApplyRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied
}

func (f *fakeNode) Documents(_, name string) (*operator.Documents, error) {
	if name != "" {
		return nil, &operator.Problem{Code: operator.CodeNotFound, Message: name + " not found"}
	}
	held := operator.Document{Revision: 5, Service: &model.Service{
		Name: "foglalas", SlowStart: model.Duration(time.Second), MaxEjected: 0.5,
	}}
	return &operator.Documents{Version: 7, Documents: []operator.Document{held}}, nil
}

func (f *fakeNode) History(context.Context, string, int) (*operator.History, error) {
	return &operator.History{}, f.failed()
}

func (f *fakeNode) Status(context.Context) (*operator.Status, error) { return &f.status, f.failed() }

func (f *fakeNode) Progress(context.Context, uint64) (*operator.Progress, error) {
	return &f.progress, nil
}

func (f *fakeNode) Drain(_ context.Context, req *operator.DrainRequest) error {
	f.drains = append(f.drains, *req)
	return f.failed()
}

// failed returns no typed nil.
func (f *fakeNode) failed() error {
	if f.problem == nil {
		return nil
	}
	return f.problem
}

// serve returns the node's URL.
func (f *fakeNode) serve(t *testing.T) string {
	api := operatorapi.New(f)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == operator.PathApply && f.lose > 0 {
			f.lose--
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		api.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// call runs the tool and returns its exit code and both outputs.
func call(args ...string) (subcommands.ExitStatus, string, string) {
	var out, err bytes.Buffer
	status := run(context.Background(), args, &out, &err)
	return status, out.String(), err.String()
}

// document writes a service and returns its file.
func document(t *testing.T, content string) string {
	file := filepath.Join(t.TempDir(), "service.json")
	must.NoError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

const service = `{"name":"foglalas","slowStart":"1s","maxEjected":0.5}`

var (
	inForce = operator.Progress{Version: 8, InForce: true, Zones: []operator.ZoneProgress{{Zone: "csepel", Version: 8, Live: 2, Holding: 2}}}
	partial = operator.Progress{Version: 8, Zones: []operator.ZoneProgress{
		{Zone: "csepel", Version: 8, Live: 2, Holding: 1, Missing: []model.NodeID{"csepel-2"}},
		{Zone: "obuda", Version: 7, Live: 2, Holding: 2, CutOff: true},
	}}
)

// many stands for as often as the time allows.
const many = -1

func TestApplyExitCodes(t *testing.T) {
	conflict := &operator.Problem{Code: operator.CodeConflict, Message: "first was another", Document: "service/foglalas", Revision: 6}
	invalid := &operator.Problem{Code: operator.CodeInvalid, Message: "bad", Faults: []operator.Fault{{Path: "services[0].x", Found: "1", Allowed: "2"}}}
	cases := []struct {
		name string
		node *fakeNode
		args []string
		want subcommands.ExitStatus
		sent int
		says []string
	}{
		{"in force", &fakeNode{progress: inForce}, nil, exitInForce, 1, []string{"accepted: change", "version 8: held by 2 of 2 nodes"}},
		{"no wait", &fakeNode{progress: partial}, []string{"-no-wait"}, exitInForce, 1, []string{"accepted: change"}},
		{"refused", &fakeNode{problem: invalid}, nil, exitRefused, 1, []string{"services[0].x: found 1, allowed: 2"}},
		{"conflict", &fakeNode{problem: conflict}, nil, exitConflict, 1, []string{"first was another"}},
		{"partial", &fakeNode{progress: partial}, []string{"-timeout", "1s"}, exitPartial, 1, []string{"held by 1 of 4 nodes, missing csepel-2, zone obuda cut off"}},
		{"lost answer", &fakeNode{progress: inForce, lose: 1}, nil, exitInForce, 2, []string{"sending the same change again", "accepted before: change"}},
		{"lost for good", &fakeNode{lose: 1000}, []string{"-timeout", "1s"}, exitUnknown, many, []string{"run the same command with -change-id"}},
		{"unknown", &fakeNode{problem: &operator.Problem{Code: operator.CodeUnknown}}, []string{"-timeout", "1s", "-change-id", "c1"}, exitUnknown, many, []string{"-change-id c1"}},
		{"not ready", &fakeNode{problem: &operator.Problem{Code: operator.CodeNotReady}}, nil, exitUnreachable, 1, nil},
		{"base of another", &fakeNode{}, []string{"-base", "service/other=1"}, exitUsage, 0, []string{"service/other"}},
		{"bad change id", &fakeNode{}, []string{"-change-id", "../x"}, exitUsage, 0, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			args := append([]string{"apply", document(t, service), "-node", tc.node.serve(t)}, tc.args...)
			status, _, stderr := call(args...)
			must.Eq(t, tc.want, status, must.Sprint(stderr))
			if tc.sent != many {
				must.SliceLen(t, tc.sent, tc.node.sent())
			}
			for _, s := range tc.says {
				must.StrContains(t, stderr, s)
			}
			for i, req := range tc.node.sent() {
				must.Eq(t, tc.node.sent()[0].ChangeID, req.ChangeID)
				must.Eq(t, map[string]uint64{"service/foglalas": 5}, req.Base)
				must.Eq(t, i > 0 || tc.name == "unknown", req.Resend)
			}
		})
	}
}

func TestApplyPrintsJSON(t *testing.T) {
	node := fakeNode{progress: partial}
	args := []string{"apply", "-output", "json", "-change-id", "c1", "-timeout", "1s", "-node", node.serve(t), document(t, service)}
	status, stdout, _ := call(args...)
	must.Eq(t, exitPartial, status)
	var got applied
	must.NoError(t, json.Unmarshal([]byte(stdout), &got))
	must.Eq(t, "c1", got.ChangeID)
	must.Eq(t, partial, got.Progress)
	node.problem = &operator.Problem{Code: operator.CodeConflict, Document: "service/foglalas", Revision: 6}
	_, stdout, _ = call(args...)
	var f failure
	must.NoError(t, json.Unmarshal([]byte(stdout), &f))
	f.Message = ""
	must.Eq(t, failure{Exit: exitConflict, Outcome: "conflict", ChangeID: "c1", Document: "service/foglalas", Revision: 6}, f)
}

func TestFaultsNameFileAndPath(t *testing.T) {
	bad, worse := document(t, `{"name":"a","nope":1}`), document(t, `{`)
	status, stdout, stderr := call("validate", bad, worse)
	must.Eq(t, exitRefused, status)
	must.Eq(t, "", stdout)
	must.StrContains(t, stderr, bad+": nope: found a key that is not known")
	must.StrContains(t, stderr, worse+": found")
	status, _, stderr = call("validate", bad, "/nonexistent")
	must.Eq(t, exitFailure, status)
	must.StrContains(t, stderr, "/nonexistent: found nothing")
	status, _, stderr = call("validate", document(t, service), document(t, service))
	must.Eq(t, exitRefused, status)
	must.StrContains(t, stderr, "services[1].name")
	status, stdout, _ = call("validate", document(t, service), "-output", "json")
	must.Eq(t, exitInForce, status)
	must.StrContains(t, stdout, `"services": 1`)
}

func TestOtherExitCodes(t *testing.T) {
	node := fakeNode{status: operator.Status{Nodes: []operator.NodeStatus{{Node: "csepel-1", Draining: true}}}}
	url := node.serve(t)
	same, other := document(t, service), document(t, `{"name":"kiosztas","slowStart":"1s","maxEjected":0.5}`)
	cases := []struct {
		args []string
		want subcommands.ExitStatus
		says string
	}{
		{[]string{"get", "service", "nobody"}, exitNotFound, ""},
		{[]string{"diff", same}, exitInForce, ""},
		{[]string{"diff", other, "-output", "json"}, exitDifferent, `"does": "add"`},
		{[]string{"drain", "csepel-1"}, exitInForce, "draining"},
		{[]string{"undrain", "csepel-1", "-timeout", "1s"}, exitPartial, "in service"},
		{[]string{"list"}, exitInForce, "service/foglalas"},
		{[]string{"list", "-output", "xml"}, exitUsage, ""},
		{[]string{"history", "-limit", "65"}, exitUsage, ""},
		{[]string{"bogus"}, exitUsage, ""},
		{[]string{"drain", "-help"}, exitInForce, "Exit codes"},
		{[]string{"version", "-output", "json"}, exitInForce, `"version"`},
	}
	for _, tc := range cases {
		args := tc.args
		if args[0] != "version" && args[0] != "bogus" {
			args = append(args, "-node", url)
		}
		status, stdout, stderr := call(args...)
		must.Eq(t, tc.want, status, must.Sprint(args, stderr))
		must.StrContains(t, stdout, tc.says)
	}
	must.Eq(t, []operator.DrainRequest{{Node: "csepel-1", Drain: true}, {Node: "csepel-1"}}, node.drains)
}

func TestUnreachable(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	for _, args := range [][]string{{"status"}, {"drain", "csepel-1"}, {"apply", document(t, service)}} {
		start := time.Now()
		status, _, _ := call(append(args, "-node", s.URL)...)
		must.Eq(t, exitUnreachable, status, must.Sprint(args, time.Since(start)))
	}
}
