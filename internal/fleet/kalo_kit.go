package fleet

// KaloKit returns the hosts of the team kit shop: 3 zones, 9 backend servers of
// order-desk and 3 of artwork-store.
func KaloKit() []Host {
	hosts := Spread(12, "piraeus-a", "marousi-b", "elefsina-c")
	for i := range hosts {
		hosts[i].Region = "attica"
		hosts[i].Service = "order-desk"
		hosts[i].Slots = 10
		hosts[i].Connections = 130
		hosts[i].ServiceMillis = 2
	}
	for i := range 3 {
		// One in each zone.
		hosts[len(hosts)-1-i].Service = "artwork-store"
	}
	return hosts
}
