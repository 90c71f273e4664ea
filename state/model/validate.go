package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// Bounds of a class's deadline.
const (
	// MinDeadline is the shortest Class.Deadline.
	MinDeadline = time.Millisecond
	// MaxDeadline is the longest Class.Deadline.
	MaxDeadline = time.Hour
)

var (
	systems = []System{SystemMesh, SystemOlder}
	kinds   = []ClassKind{KindNonRepeatable, KindInteractive, KindBulk, KindEventual}
	methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// Validate checks the contract and returns all faults as a strictjson.Faults,
// nil when there is none. It does not check that the services of the routes
// exist; the snapshot does.
func (c *Contract) Validate() error { return c.faults().Err() }

func (c *Contract) faults() strictjson.Faults {
	k := new(checker)
	k.name("organisation", c.Organisation)
	k.hosts(c.Hosts)
	oneOf(k, "handledBy", c.HandledBy, systems)
	k.rate("rate", &c.Rate)
	k.within("concurrency", c.Concurrency, 1, MaxRequests)
	k.within("weight", c.Weight, 1, MaxWeight)
	k.classes(c)
	k.routes(c)
	return k.faults
}

func (k *checker) hosts(hosts []string) {
	if len(hosts) == 0 {
		k.faults.Add("hosts", "no host", "1 to 64 hosts")
	}
	k.count("hosts", len(hosts), MaxHosts)
	seen := make(map[string]bool, len(hosts))
	for i, host := range hosts {
		path := strictjson.Index("hosts", i)
		if !ValidHost(host) {
			k.faults.AddValue(path, host, allowedHost)
			continue
		}
		k.unique(path, host, seen)
	}
}

func (k *checker) rate(path string, r *Rate) {
	// The comparison is false for NaN.
	if !(r.PerSecond > 0 && r.PerSecond <= MaxRequests) {
		k.faults.AddValue(path+".perSecond", r.PerSecond, fmt.Sprintf("more than 0, at most %d", MaxRequests))
	}
	k.within(path+".burst", r.Burst, 1, MaxRequests)
}

func (k *checker) classes(c *Contract) {
	if len(c.Classes) == 0 && c.HandledBy != SystemOlder {
		k.faults.Add("classes", "no class", "at least 1 class, unless the older system handles the organisation")
	}
	k.count("classes", len(c.Classes), MaxClasses)
	seen := make(map[string]bool, len(c.Classes))
	reserved := 0
	for i := range c.Classes {
		class := &c.Classes[i]
		path := strictjson.Index("classes", i)
		if k.name(path+".name", class.Name) {
			k.unique(path+".name", class.Name, seen)
		}
		k.class(path, class, c.Concurrency)
		reserved += min(max(class.Reserve, 0), MaxRequests)
	}
	if c.Concurrency >= 1 && reserved > c.Concurrency {
		k.faults.Add("classes", fmt.Sprintf("reserves of %d in all", reserved),
			fmt.Sprintf("at most the organisation's concurrency, %d", c.Concurrency))
	}
}

func (k *checker) class(path string, class *Class, organisation int) {
	oneOf(k, path+".kind", class.Kind, kinds)
	if class.Rate != nil {
		k.rate(path+".rate", class.Rate)
	}
	k.within(path+".concurrency", class.Concurrency, 0, MaxRequests)
	k.within(path+".reserve", class.Reserve, 0, MaxRequests)
	k.classLimits(path, class, organisation)
	k.within(path+".weight", class.Weight, 1, MaxWeight)
	k.duration(path+".deadline", class.Deadline, MinDeadline, MaxDeadline)
	if class.Kind == KindNonRepeatable && class.Repeatable {
		k.faults.AddValue(path+".repeatable", true, "false for a class of kind non-repeatable")
	}
	if class.RetryBudget != nil {
		k.fraction(path+".retryBudget.ratio", class.RetryBudget.Ratio, 1)
		k.fraction(path+".retryBudget.minPerSecond", class.RetryBudget.MinPerSecond, MaxRetriesPerSecond)
	}
}

// classLimits checks a class's concurrency against its reserve and against
// the organisation's concurrency.
func (k *checker) classLimits(path string, class *Class, organisation int) {
	if class.Concurrency <= 0 {
		return
	}
	if organisation >= 1 && class.Concurrency > organisation {
		k.faults.AddValue(path+".concurrency", class.Concurrency, fmt.Sprintf("at most the organisation's concurrency, %d", organisation))
	}
	if class.Reserve > class.Concurrency {
		k.faults.AddValue(path+".reserve", class.Reserve, fmt.Sprintf("at most the class's concurrency, %d", class.Concurrency))
	}
}

func (k *checker) routes(c *Contract) {
	if len(c.Routes) == 0 && c.HandledBy != SystemOlder {
		k.faults.Add("routes", "no route", "at least 1 route, unless the older system handles the organisation")
	}
	k.count("routes", len(c.Routes), MaxRoutes)
	seen := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		path := strictjson.Index("routes", i)
		if k.name(path+".name", r.Name) {
			k.unique(path+".name", r.Name, seen)
		}
		k.route(path, r)
		declared := slices.ContainsFunc(c.Classes, func(class Class) bool { return class.Name == r.Class })
		if k.name(path+".class", r.Class) && !declared {
			k.faults.AddValue(path+".class", r.Class, "the name of a class of this contract")
		}
	}
}

func (k *checker) route(path string, r *Route) {
	seen := make(map[string]bool, len(r.Methods))
	for i, m := range r.Methods {
		at := strictjson.Index(path+".methods", i)
		oneOf(k, at, m, methods)
		k.unique(at, m, seen)
	}
	k.path(path+".pathPrefix", r.PathPrefix)
	k.name(path+".service", r.Service)
	if r.HandledBy != "" {
		oneOf(k, path+".handledBy", r.HandledBy, systems)
	}
}
