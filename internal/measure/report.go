package measure

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Report is what one command has measured.
type Report struct {
	// Date is the day of the run, Command the command line.
	Date    string `json:"date"`
	Command string `json:"command"`
	// Processors is the number of the machine's processors; others used them
	// at the same time.
	Processors int    `json:"processors"`
	Go         string `json:"go"`
	// Exactly one of these is set.
	Control []*Control `json:"control,omitempty"`
	Churn   []*Churn   `json:"churn,omitempty"`
	Cores   *Cores     `json:"cores,omitempty"`
}

// NewReport returns a report of today without figures.
func NewReport(command string) *Report {
	return &Report{
		Date:       time.Now().UTC().Format(time.DateOnly),
		Command:    command,
		Processors: runtime.NumCPU(),
		Go:         runtime.Version(),
	}
}

// filePermissions are those of reports and pages.
const filePermissions = 0o644

// Save writes the report as DIR/NAME.json.
func (r *Report) Save(dir, name string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(reportFile(dir, name), append(raw, '\n'), filePermissions)
}

// Load reads a report.
func Load(dir, name string) (*Report, error) {
	raw, err := os.ReadFile(reportFile(dir, name))
	if err != nil {
		return nil, err
	}
	r := new(Report)
	return r, json.Unmarshal(raw, r)
}

func reportFile(dir, name string) string { return filepath.Join(dir, name+".json") }
