package measure

import (
	"bufio"
	"io"
	"os"
	"strconv"
	"strings"
	"time"
)

// applied is one line of a node's log that says that it serves with a version.
type applied struct {
	version uint64
	at      time.Time
}

// appliedEvent marks the log line.
const appliedEvent = " event=version_applied "

// readApplied reads the versions that a log tells of, in order.
func readApplied(file string) ([]applied, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return parseApplied(f)
}

func parseApplied(r io.Reader) ([]applied, error) {
	var all []applied
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		if !strings.Contains(line, appliedEvent) {
			continue
		}
		a, err := parseAppliedLine(line)
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, lines.Err()
}

func parseAppliedLine(line string) (applied, error) {
	var a applied
	var err error
	for _, field := range strings.Fields(line) {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "time":
			a.at, err = time.Parse(time.RFC3339Nano, value)
		case "version":
			a.version, err = strconv.ParseUint(value, 10, 64)
		}
		if err != nil {
			return a, &FormatError{What: "version_applied event", Text: line}
		}
	}
	if a.version == 0 || a.at.IsZero() {
		return a, &FormatError{What: "version_applied event", Text: line}
	}
	return a, nil
}

// holds returns when a node first served with a version or a newer one, at or
// after a time. It reports false when it never did.
func holds(all []applied, version uint64, from time.Time) (time.Time, bool) {
	for _, a := range all {
		if a.version >= version && !a.at.Before(from) {
			return a.at, true
		}
	}
	return time.Time{}, false
}
