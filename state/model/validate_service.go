package model

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// Bounds of a service's durations.
const (
	// MaxSlowStart is the longest Service.SlowStart.
	MaxSlowStart = 10 * time.Minute
	// MinProbeInterval is the shortest Service.ProbeInterval.
	MinProbeInterval = 100 * time.Millisecond
	// MaxProbeInterval is the longest Service.ProbeInterval.
	MaxProbeInterval = 10 * time.Minute
)

// Validate checks the service and returns all faults as a strictjson.Faults,
// nil when there is none.
func (s *Service) Validate() error { return s.faults().Err() }

func (s *Service) faults() strictjson.Faults {
	k := new(checker)
	k.name("name", s.Name)
	k.duration("slowStart", s.SlowStart, 0, MaxSlowStart)
	k.probe(s)
	k.within("olderSlots", s.OlderSlots, 0, MaxQueueLength)
	k.fraction("maxEjected", s.MaxEjected, MaxEjectedShare)
	k.within("queueLength", s.QueueLength, 0, MaxQueueLength)
	return k.faults
}

// probe checks the probe path and interval, which must be set together.
func (k *checker) probe(s *Service) {
	switch {
	case s.ProbePath == "" && s.ProbeInterval == 0:
		return
	case s.ProbePath == "":
		k.faults.Add("probePath", "nothing", "a path, where probeInterval is given")
	default:
		k.path("probePath", s.ProbePath)
		k.duration("probeInterval", s.ProbeInterval, MinProbeInterval, MaxProbeInterval)
	}
}
