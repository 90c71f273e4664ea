package measure

import (
	"math"
	"slices"
	"time"
)

// Usage is what the nodes of a fleet used within some time.
type Usage struct {
	// Seconds is the time.
	Seconds float64 `json:"seconds"`
	// Bytes and MaxBytes are the control bytes that a node sent in the whole
	// time, as UDP payloads: the mean and the most of all nodes.
	Bytes    float64 `json:"bytes"`
	MaxBytes float64 `json:"maxBytes"`
	// BytesPerSecond and MaxBytesPerSecond are the same for one second.
	BytesPerSecond    float64 `json:"bytesPerSecond"`
	MaxBytesPerSecond float64 `json:"maxBytesPerSecond"`
	// PacketsPerSecond is the mean of UDP packets sent by a node.
	PacketsPerSecond float64 `json:"packetsPerSecond"`
	// Kinds are the mean bytes per node and second by kind of message,
	// encoded, without QUIC.
	Kinds map[string]float64 `json:"kinds"`
	// CPU and MaxCPU are parts of one core in percent.
	CPU    float64 `json:"cpuPercent"`
	MaxCPU float64 `json:"maxCpuPercent"`
	// RSS and MaxRSS are the resident memory at the end, in MB (10^6 bytes).
	RSS    float64 `json:"rssMB"`
	MaxRSS float64 `json:"maxRssMB"`
	// Reads and Writes are the platform's, of the whole fleet, per second.
	Reads  float64 `json:"platformReadsPerSecond"`
	Writes float64 `json:"platformWritesPerSecond"`
}

// use returns what was used between two samples.
func use(a, b sample) Usage {
	seconds := b.at.Sub(a.at).Seconds()
	u := Usage{Seconds: seconds, Kinds: make(map[string]float64)}
	n := float64(len(b.nodes))
	for id, after := range b.nodes {
		before := a.nodes[id]
		if after.sent < before.sent {
			before = nodeSample{} // restarted: its counts began again
		}
		sent := after.sent - before.sent
		cpu := 100 * (after.CPU - before.CPU) / seconds
		u.Bytes += sent / n
		u.MaxBytes = max(u.MaxBytes, sent)
		u.PacketsPerSecond += (after.packets - before.packets) / n / seconds
		u.CPU += cpu / n
		u.MaxCPU = max(u.MaxCPU, cpu)
		u.RSS += after.RSS / n / megabyte
		u.MaxRSS = max(u.MaxRSS, after.RSS/megabyte)
		for kind, v := range after.kinds {
			u.Kinds[kind] += (v - before.kinds[kind]) / n / seconds
		}
	}
	u.BytesPerSecond = u.Bytes / seconds
	u.MaxBytesPerSecond = u.MaxBytes / seconds
	u.Reads = (b.platform.Reads - a.platform.Reads) / seconds
	u.Writes = (b.platform.Writes - a.platform.Writes) / seconds
	return u
}

const megabyte = 1e6

// Times are quantiles of times in milliseconds.
type Times struct {
	// Count is the number of times.
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// times returns the quantiles of the given times.
func times(all []time.Duration) Times {
	if len(all) == 0 {
		return Times{}
	}
	sorted := slices.Sorted(slices.Values(all))
	at := func(q float64) float64 {
		i := int(math.Ceil(q*float64(len(sorted)))) - 1
		return millis(sorted[max(i, 0)])
	}
	return Times{Count: len(sorted), P50: at(0.5), P99: at(0.99), Max: at(1)}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
