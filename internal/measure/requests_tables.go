package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/jacinthgate/jacinthgate/internal/load"
)

// RequestReport is what one command has measured of requests.
type RequestReport struct {
	*Report
	Requests []*Requests `json:"requests,omitempty"`
	Policies []*Policies `json:"policies,omitempty"`
}

// Save writes the report as DIR/NAME.json.
func (r *RequestReport) Save(dir, name string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(reportFile(dir, name), append(raw, '\n'), filePermissions)
}

// Tables returns the report's Markdown.
func (r *RequestReport) Tables() string {
	var b strings.Builder
	fmt.Fprintf(&b, "`%s`, %s, %d processors shared with other work, %s.\n", r.Command, r.Date, r.Processors, r.Go)
	if len(r.Requests) > 0 {
		requestTables(&b, r.Requests)
	}
	for _, p := range r.Policies {
		policyTable(&b, p)
	}
	return b.String()
}

func requestTables(b *strings.Builder, all []*Requests) {
	var steps, stages [][]string
	for _, r := range all {
		name := fmt.Sprintf("%s, %d nodes", r.Deployment, r.Nodes)
		for _, s := range r.Steps {
			steps = append(steps, append([]string{name, s.Name, s.Load}, nums(s.PerSecond,
				s.Direct.Micros.P50, s.Mesh.Micros.P50, s.Mesh.Micros.P50-s.Direct.Micros.P50,
				s.Direct.Micros.P99, s.Mesh.Micros.P99, s.Mesh.Micros.P99-s.Direct.Micros.P99,
				s.ProcessorMicros, s.LateMicros, unanswered(s.Mesh), unanswered(s.Direct))...))
		}
		for i, s := range added(r.Stages) {
			stages = append(stages, append([]string{name, s.Name}, nums(r.Stages[i].P50, s.P50, r.Stages[i].P99, s.P99)...))
		}
	}
	b.WriteString("\nTimes in µs; processor in µs of all nodes for each call through the mesh; \"late\" is how late the tool sent, p99.\n")
	table(b, []string{"deployment", "offered, and as much directly", "load", "answered/s", "p50 direct", "mesh", "added",
		"p99 direct", "mesh", "added", "processor", "late", "not answered mesh %", "direct %"}, steps)
	b.WriteString("\nOne caller, calls entering at each stage in turn, µs.\n")
	table(b, []string{"deployment", "call enters at", "p50", "added", "p99", "added"}, stages)
}

func policyTable(b *strings.Builder, p *Policies) {
	fmt.Fprintf(b, "\n%s, capacity %s calls/s; useful: answers within the deadline as a part of the capacity.\n",
		p.Deployment, num(p.Capacity))
	var rows [][]string
	for _, t := range p.Trials {
		for i, mesh := range t.Mesh {
			direct := t.Direct[i]
			row := []string{t.Name, num(t.Offered), mesh.Organisation, t.Load}
			row = append(row, outcomeColumns(mesh, t.MeshSeconds, p.Capacity)...)
			row = append(row, outcomeColumns(direct, t.DirectSeconds, p.Capacity)...)
			rows = append(rows, append(row, nums(max(t.MeshLate, t.DirectLate)/1000)...))
		}
	}
	table(b, []string{"trial", "offered", "organisation", "load", "mesh: useful %", "not answered %", "unknown, cut or failed %",
		"p50 ms", "p99 ms", "in turn: useful %", "not answered %", "unknown, cut or failed %", "p50 ms", "p99 ms", "late ms"}, rows)
}

// outcomeColumns describes what the callers of one class got.
func outcomeColumns(c load.Cell, seconds, capacity float64) []string {
	answered := float64(c.Labels[load.LabelAnswered])
	open := float64(c.Sent-c.Labels[load.LabelNotRun]) - answered
	return nums(100*answered/seconds/capacity, unanswered(c), 100*open/max(1, float64(c.Sent)),
		c.Micros.P50/1000, c.Micros.P99/1000)
}

// unanswered returns the part of a class's requests without an answer, in
// percent.
func unanswered(c load.Cell) float64 {
	return 100 * float64(c.Sent-c.Labels[load.LabelAnswered]) / max(1, float64(c.Sent))
}
