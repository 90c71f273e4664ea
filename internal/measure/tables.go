package measure

import (
	"fmt"
	"math"
	"strings"
)

// Tables returns the report's Markdown: the command, the day and the tables.
func (r *Report) Tables() string {
	var b strings.Builder
	fmt.Fprintf(&b, "`%s`, %s, %d processors shared with other work, %s.\n", r.Command, r.Date, r.Processors, r.Go)
	switch {
	case r.Cores != nil:
		coreTable(&b, r.Cores)
	case len(r.Churn) > 0:
		churnTable(&b, r.Churn)
	default:
		controlTables(&b, r.Control)
	}
	return b.String()
}

// table writes a Markdown table.
func table(b *strings.Builder, head []string, rows [][]string) {
	b.WriteString("\n| " + strings.Join(head, " | ") + " |\n")
	b.WriteString("|" + strings.Repeat(" --- |", len(head)) + "\n")
	for _, row := range rows {
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
}

// num writes a number with three significant digits, or as a whole number.
func num(v float64) string {
	if math.Abs(v) >= 100 || v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func nums(values ...float64) []string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = num(v)
	}
	return out
}

// fleetName names a fleet in a table.
func fleetName(nodes, zones int, s Size) string {
	return fmt.Sprintf("%d in %d zones, %d contracts", nodes, zones, s.Contracts)
}

func controlTables(b *strings.Builder, all []*Control) {
	var times, usage, burst [][]string
	for _, c := range all {
		name := fleetName(c.Nodes, c.Zones, c.Size)
		times = append(times, append([]string{name, c.Load}, nums(
			c.StartSeconds, c.Nodes1.P50, c.Nodes1.P99, c.Last1.P50, c.Last1.Max, c.Known.P50, c.Known.Max)...))
		usage = append(usage, append([]string{name}, nums(
			c.Idle.BytesPerSecond, c.Idle.MaxBytesPerSecond, c.BytesPerChange, c.PayloadPerChange,
			c.Start.Bytes, c.Idle.CPU, c.Idle.MaxCPU, c.Idle.RSS, c.Idle.MaxRSS, c.Idle.Reads, c.Idle.Writes)...))
		burst = append(burst, append([]string{name}, nums(
			float64(c.BurstChanges), c.BurstSeconds, c.BurstLast, c.BurstBytes)...))
	}
	b.WriteString("\nTimes in ms from acceptance; start in s until the first version is in force.\n")
	table(b, []string{"nodes", "load", "start", "each node p50", "p99", "last node p50", "max",
		"known in force p50", "max"}, times)
	b.WriteString("\nControl traffic sent by a node, in bytes of UDP payload; processor in percent of one core; memory in MB;\n" +
		"platform calls of the whole fleet, each second.\n")
	table(b, []string{"nodes", "idle B/s", "busiest", "B a change", "of it delta, fetch, advert", "B for start",
		"idle CPU %", "busiest", "RSS", "largest", "reads/s", "writes/s"}, usage)
	b.WriteString("\nChanges sent in a row without a pause.\n")
	table(b, []string{"nodes", "changes", "s in all", "ms until the last node holds the last", "B a change"}, burst)
	baselineTable(b, all)
}

func baselineTable(b *strings.Builder, all []*Control) {
	var rows [][]string
	for _, c := range all {
		p := c.Baseline
		if p == nil {
			continue
		}
		name := fleetName(c.Nodes, c.Zones, c.Size)
		rows = append(rows,
			append([]string{name, "mesh"}, nums(c.Nodes1.P50, c.Nodes1.P99, c.Last1.P50, c.Last1.Max,
				c.Changing.BytesPerSecond, c.Idle.Reads)...),
			append([]string{name, "plain pollers"}, nums(p.Each.P50, p.Each.P99, p.Last.P50, p.Last.Max,
				p.BytesPerSecond, p.Reads)...))
	}
	if len(rows) == 0 {
		return
	}
	b.WriteString("\nThe mesh beside as many plain pollers, in the same runs; times in ms from acceptance. Bytes are those of one\n" +
		"node while changes are made; the mesh's reads of the platform are those while idle.\n")
	table(b, []string{"nodes", "", "each node p50", "p99", "last node p50", "max", "B/s", "reads/s"}, rows)
}

func churnTable(b *strings.Builder, all []*Churn) {
	var rows [][]string
	for _, c := range all {
		name := fmt.Sprintf("%s, %d routes", fleetName(c.Nodes, c.Zones, c.Size), c.Size.Contracts*c.Size.Routes)
		rows = append(rows, []string{name, "idle", num(c.Idle.Seconds), num(c.Idle.Bytes), "", num(c.Idle.MaxBytes),
			"", "", num(c.Idle.Reads), num(c.Idle.Writes)})
		for _, s := range c.Steps {
			rows = append(rows, append([]string{name, s.Name}, nums(s.Usage.Seconds, s.Usage.Bytes, s.Extra,
				s.Usage.MaxBytes, s.Last, s.Ready, s.Usage.Reads, s.Usage.Writes)...))
		}
	}
	b.WriteString("\nBytes of UDP payload sent by a node within the step; 0 ms means that the step has none.\n")
	table(b, []string{"nodes", "step", "s", "B", "beyond idling", "busiest", "ms until a change is on the last node",
		"ms until those that came back serve", "reads/s", "writes/s"}, rows)
}

func coreTable(b *strings.Builder, c *Cores) {
	var rows [][]string
	for _, f := range c.Figures {
		slope, constant := f.Line()
		row := []string{f.Name, f.Package, f.Unit}
		for _, p := range f.Points {
			row = append(row, fmt.Sprintf("%s at %s", spread(p), num(p.Size)))
		}
		row = append(row, line(slope, constant, f.Of))
		rows = append(rows, row)
	}
	fmt.Fprintf(b, "\nMedian of %d rounds, with the least and the most where they differ by a tenth; load average %s.\n", rounds, c.Load)
	table(b, []string{"figure", "package", "unit", "small", "middle", "design size", "line"}, rows)
}

// line writes a line; a constant below 0 says that the growth is not a line.
func line(slope, constant float64, of string) string {
	sign := "+"
	if constant < 0 {
		sign = "-"
	}
	return fmt.Sprintf("%s x %s %s %s", num(slope), of, sign, num(math.Abs(constant)))
}

// spread writes a point with its least and most value where they differ.
func spread(p Point) string {
	if math.Abs(p.Max-p.Min) <= math.Abs(p.Median)/10 {
		return num(p.Median)
	}
	return fmt.Sprintf("%s (%s to %s)", num(p.Median), num(p.Min), num(p.Max))
}
