package measure

import (
	"errors"
	"os"
	"strings"
)

// Names are those of the reports and of their tables in the pages.
var Names = []string{"control", "contracts", "baseline", "churn", "cores"}

// WritePages puts the tables of all reports between their markers in the pages.
// A page needs only some of the markers, but each report has to find one. A
// report that is missing is left out.
func WritePages(dir string, pages ...string) error {
	for _, name := range Names {
		report, err := Load(dir, name)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		if err := writeTable(name, report.Tables(), pages); err != nil {
			return err
		}
	}
	return nil
}

func writeTable(name, text string, pages []string) error {
	written := false
	for _, page := range pages {
		raw, err := os.ReadFile(page)
		if err != nil {
			return err
		}
		next, ok := replace(string(raw), name, text)
		if !ok {
			continue
		}
		written = true
		if err := os.WriteFile(page, []byte(next), filePermissions); err != nil {
			return err
		}
	}
	if !written {
		return &MarkerError{Page: strings.Join(pages, ", "), Table: name}
	}
	return nil
}

// replace puts text between the markers of a table; false when the page has
// none.
func replace(page, name, text string) (string, bool) {
	begin, end := "<!-- "+name+":begin -->\n", "<!-- "+name+":end -->"
	before, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", false
	}
	_, after, ok := strings.Cut(rest, end)
	if !ok {
		return "", false
	}
	return before + begin + text + end + after, true
}
