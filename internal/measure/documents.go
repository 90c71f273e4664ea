package measure

import (
	"fmt"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Size is the size of a configuration.
type Size struct {
	// Contracts is the number of contracts.
	Contracts int `json:"contracts"`
	// Routes is the number of routes of each contract.
	Routes int `json:"routes"`
	// Services is the number of services.
	Services int `json:"services"`
}

// kinds are the kinds of the three classes of each contract.
var kinds = []model.ClassKind{model.KindNonRepeatable, model.KindInteractive, model.KindBulk}

// service returns the name of the service with a number.
func (s Size) service(i int) string { return fmt.Sprintf("service-%03d", i%s.Services) }

// contract returns a contract; equal arguments give equal contracts, other
// weights differ in the weight alone.
func (s Size) contract(i, weight int) *model.Contract {
	name := organisation(i)
	c := &model.Contract{
		Organisation: name,
		Hosts:        []string{name + ".example", "www." + name + ".example"},
		HandledBy:    model.SystemMesh,
		Rate:         model.Rate{PerSecond: float64(100 + i%50), Burst: 200},
		Concurrency:  40,
		Weight:       weight,
	}
	for j, kind := range kinds {
		c.Classes = append(c.Classes, model.Class{
			Name:     string(kind),
			Kind:     kind,
			Weight:   j + 1,
			Deadline: model.Duration(time.Duration(j+1) * time.Second),
		})
	}
	for j := range s.Routes {
		c.Routes = append(c.Routes, model.Route{
			Name:       fmt.Sprintf("route-%d", j),
			PathPrefix: fmt.Sprintf("/v1/part-%d", j),
			Service:    s.service(i + j),
			Class:      string(kinds[j%len(kinds)]),
		})
	}
	return c
}

func organisation(i int) string { return fmt.Sprintf("organisation-%04d", i) }

// batch returns the whole configuration.
func (s Size) batch() model.Batch {
	var b model.Batch
	for i := range s.Services {
		b.Services = append(b.Services, &model.Service{Name: s.service(i), MaxEjected: 0.3})
	}
	for i := range s.Contracts {
		b.Contracts = append(b.Contracts, s.contract(i, 1))
	}
	return b
}
