package load

import (
	"net/http"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// The hosts of the example plan.
const (
	signageHost  = "signage.example"
	kaloKitHost  = "kalo-kit.example"
	signage      = "room-signage"
	kaloKit      = "kalo-kit"
	smallBody    = 256
	orderBody    = 2 << 10
	firmwareBody = 256 << 10
	proofBody    = 128 << 10
)

// ExamplePlan returns a small plan with the mix of two organisations. room-signage
// has screens that poll for what is booked, a few bookings, slow firmware and
// layout look-ups. kalo-kit has catalogue and order status reads, paid orders,
// artwork proofs and stock checks. The stand-in of the backend server echoes
// the request's body, so the bulk classes send what they would fetch.
func ExamplePlan() Plan {
	return Plan{
		Seed:     1,
		Loop:     LoopOpen,
		Arrivals: ArrivalsPoisson,
		Duration: model.Duration(10 * time.Second),
		Requests: 20_000,
		InFlight: 1000,
		Classes:  append(signageClasses(), kaloKitClasses()...),
	}
}

func signageClasses() []Class {
	return []Class{
		{Organisation: signage, Name: "screen", Host: signageHost, Method: http.MethodGet,
			Path: "/rooms/{n}/now", Spread: 400, Rate: 300, Deadline: seconds(1)},
		{Organisation: signage, Name: "booking", Host: signageHost, Method: http.MethodPost,
			Path: "/rooms/{n}/bookings", Spread: 400, Rate: 5, Body: smallBody,
			Keyed: true, Repeats: 0.1, Retries: 2, Deadline: seconds(3)},
		{Organisation: signage, Name: "firmware", Host: signageHost, Method: http.MethodPost,
			Path: "/firmware/{n}", Spread: 3, Rate: 2, Body: firmwareBody, Deadline: seconds(30)},
		{Organisation: signage, Name: "layout", Host: signageHost, Method: http.MethodGet,
			Path: "/layouts/{n}", Spread: 50, Rate: 40, Retries: 1, Deadline: seconds(10)},
	}
}

func kaloKitClasses() []Class {
	return []Class{
		{Organisation: kaloKit, Name: "status", Host: kaloKitHost, Method: http.MethodGet,
			Path: "/orders/{n}", Spread: 900, Rate: 200, Deadline: seconds(1)},
		{Organisation: kaloKit, Name: "order", Host: kaloKitHost, Method: http.MethodPost,
			Path: "/orders", Rate: 4, Body: orderBody,
			Keyed: true, Repeats: 0.1, Retries: 2, Deadline: seconds(5)},
		{Organisation: kaloKit, Name: "proof", Host: kaloKitHost, Method: http.MethodPost,
			Path: "/proofs/{n}", Spread: 60, Rate: 5, Body: proofBody, Deadline: seconds(10)},
		{Organisation: kaloKit, Name: "stock", Host: kaloKitHost, Method: http.MethodGet,
			Path: "/stock/{n}", Spread: 120, Rate: 60, Retries: 1, Deadline: seconds(5)},
	}
}

func seconds(n int) model.Duration { return model.Duration(time.Duration(n) * time.Second) }
