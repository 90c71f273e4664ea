package measure

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Fields of /proc/PID/stat after the command's name, which ends with ')'.
const (
	statUser   = 11
	statSystem = 12
	statRSS    = 21
)

// ticksPerSecond is the unit of times in /proc, fixed by the kernel's interface.
const ticksPerSecond = 100

// process is what a process has used.
type process struct {
	// CPU is in seconds of one core.
	CPU float64
	// RSS is the resident memory in bytes.
	RSS float64
}

// readProcess reads what the process has used.
func readProcess(pid int) (process, error) {
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return process{}, err
	}
	return parseStat(string(raw))
}

func parseStat(s string) (process, error) {
	fields := strings.Fields(s[strings.LastIndexByte(s, ')')+1:])
	if len(fields) <= statRSS {
		return process{}, &FormatError{What: "process status", Text: s}
	}
	values := make([]float64, 0, 3)
	for _, i := range []int{statUser, statSystem, statRSS} {
		v, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return process{}, &FormatError{What: "process status", Text: s}
		}
		values = append(values, v)
	}
	return process{
		CPU: (values[0] + values[1]) / ticksPerSecond,
		RSS: values[2] * float64(os.Getpagesize()),
	}, nil
}

// loadAverage returns the machine's load of the last minute, or "" where it
// can't be read.
func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(raw), " ")
	return first
}
