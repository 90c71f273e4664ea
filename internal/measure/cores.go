package measure

import (
	"math"
	"runtime"
	"slices"
	"time"
)

// Cores are the figures of the decision cores, measured in one process without
// network.
type Cores struct {
	Load    string   `json:"load"`
	Figures []Figure `json:"figures"`
}

// Figure is one quantity at several sizes.
type Figure struct {
	// Name says what was measured.
	Name string `json:"name"`
	// Package carries it.
	Package string `json:"package"`
	// Unit is the unit of the values, Of the unit of the sizes.
	Unit string `json:"unit"`
	Of   string `json:"of"`
	// Points are the values in order of size.
	Points []Point `json:"points"`
}

// Point is one value: the median of some rounds, with the least and the most.
type Point struct {
	Size   float64 `json:"size"`
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// Line returns the line through the points with the least squares of errors:
// value = slope x size + constant.
func (f Figure) Line() (slope, constant float64) {
	n := float64(len(f.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range f.Points {
		sx += p.Size
		sy += p.Median
		sxx += p.Size * p.Size
		sxy += p.Size * p.Median
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0, sy / math.Max(n, 1)
	}
	slope = (n*sxy - sx*sy) / d
	return slope, (sy - slope*sx) / n
}

// Rounds of one measurement.
const (
	rounds = 5
	// roundTime is the least time of one round of a timing.
	roundTime = 30 * time.Millisecond
)

// point makes a point of the values of some rounds.
func point(size int, values []float64) Point {
	slices.Sort(values)
	return Point{
		Size:   float64(size),
		Median: values[len(values)/2],
		Min:    values[0],
		Max:    values[len(values)-1],
	}
}

// exact makes a point of a value that doesn't vary.
func exact(size, value int) Point { return point(size, []float64{float64(value)}) }

// timed returns the microseconds that one call of f takes.
func timed(size int, f func()) Point {
	f() // fills what is filled once
	var values []float64
	for range rounds {
		values = append(values, microsOf(f))
	}
	return point(size, values)
}

func microsOf(f func()) float64 {
	began := time.Now()
	calls := 0
	for time.Since(began) < roundTime {
		f()
		calls++
	}
	return float64(time.Since(began)) / float64(time.Microsecond) / float64(calls)
}

// heap returns the bytes of heap that what f returns keeps in use.
func heap(size int, f func() any) Point {
	var values []float64
	for range rounds {
		before := heapInUse()
		kept := f()
		after := heapInUse()
		runtime.KeepAlive(kept)
		values = append(values, float64(after)-float64(before))
	}
	return point(size, values)
}

func heapInUse() uint64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC() // the second one frees what finalizers kept
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// RunCores measures all cores.
func RunCores() (*Cores, error) {
	c := &Cores{Load: loadAverage()}
	for _, part := range []func() ([]Figure, error){configFigures, memberFigures, readerFigures, shareFigures} {
		figures, err := part()
		if err != nil {
			return nil, err
		}
		c.Figures = append(c.Figures, figures...)
	}
	return c, nil
}
