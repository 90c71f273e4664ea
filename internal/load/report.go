package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Write prints the result as a table.
func (r Result) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "arm\torganisation\tclass\tsent\t")
	for _, l := range labels {
		fmt.Fprintf(t, "%s\t", l)
	}
	fmt.Fprintf(t, "replayed\tp50 us\tp99 us\tp99.9 us\tmax us\tdue p99 us\t\n")
	for _, c := range r.Cells {
		c.writeRow(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeNotes(w)
}

func (c Cell) writeRow(t io.Writer) {
	fmt.Fprintf(t, "%s\t%s\t%s\t%d\t", c.Arm, c.Organisation, c.Class, c.Sent)
	for _, l := range labels {
		fmt.Fprintf(t, "%d\t", c.Labels[l])
	}
	m := c.Micros
	fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", c.Replayed, m.P50, m.P99, m.P999, m.Max, c.DueMicros.P99)
}

// writeNotes prints what the table has no room for.
func (r Result) writeNotes(w io.Writer) error {
	var b strings.Builder
	for _, c := range r.Cells {
		for _, reason := range slices.Sorted(maps.Keys(c.Reasons)) {
			fmt.Fprintf(&b, "reason %s/%s/%s %s: %d\n", c.Arm, c.Organisation, c.Class, reason, c.Reasons[reason])
		}
	}
	fmt.Fprintf(&b, "run %s: %.1f s, %d unsent, sent late by p99 %.0f us\n", r.Run, r.Elapsed, r.Unsent, r.LagP99)
	if !r.RunsChecked {
		fmt.Fprintf(&b, "runs of the backend servers: not checked\n")
	}
	if r.NotRunIDsDropped > 0 {
		fmt.Fprintf(&b, "not-run answers that were not checked: %d\n", r.NotRunIDsDropped)
	}
	for _, breach := range slices.Sorted(maps.Keys(r.Violations)) {
		fmt.Fprintf(&b, "BROKEN %s: %d\n", breach, r.Violations[breach])
	}
	for _, v := range r.Examples {
		fmt.Fprintf(&b, "  %s %s: %s\n", v.Breach, v.Request, v.Detail)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// Difference is what the mesh adds to one class.
type Difference struct {
	// Organisation and Class label the class.
	Organisation string `json:"organisation"`
	// Class is the name of the class.
	Class string `json:"class"`
	// AddedP50 and AddedP99 are the differences of the percentiles, in
	// microseconds.
	AddedP50 float64 `json:"addedP50Micros"`
	// AddedP99 is the difference of the 99th percentiles.
	AddedP99 float64 `json:"addedP99Micros"`
	// RatioP50 and RatioP99 are mesh by direct; 0 where direct has none.
	RatioP50 float64 `json:"ratioP50"`
	// RatioP99 is the ratio of the 99th percentiles.
	RatioP99 float64 `json:"ratioP99"`
}

// Differences compares the mesh with the direct calls of the same run.
func (r Result) Differences() []Difference {
	direct := make(map[string]Quantiles)
	for _, c := range r.Cells {
		if c.Arm == ArmDirect {
			direct[c.Organisation+"/"+c.Class] = c.Micros
		}
	}
	var out []Difference
	for _, c := range r.Cells {
		d, ok := direct[c.Organisation+"/"+c.Class]
		if c.Arm != ArmMesh || !ok {
			continue
		}
		out = append(out, Difference{
			Organisation: c.Organisation, Class: c.Class,
			AddedP50: c.Micros.P50 - d.P50, AddedP99: c.Micros.P99 - d.P99,
			RatioP50: ratio(c.Micros.P50, d.P50), RatioP99: ratio(c.Micros.P99, d.P99),
		})
	}
	return out
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// WriteDifferences prints the differences as a table.
func WriteDifferences(w io.Writer, ds []Difference) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "organisation\tclass\tadded p50 us\tadded p99 us\tratio p50\tratio p99\t\n")
	for _, d := range ds {
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%.0f\t%.2f\t%.2f\t\n",
			d.Organisation, d.Class, d.AddedP50, d.AddedP99, d.RatioP50, d.RatioP99)
	}
	return t.Flush()
}
