package snapshot

// CheckConsistency checks the snapshot as a whole: the key of each entry must be the
// name of its document, the service and class of each route must exist, and no
// two contracts may claim the same HTTP host. It makes these checks in this
// order and returns the first fault in order of name: a *NameError,
// *ReferenceError or *HostError.
func (s *Snapshot) CheckConsistency() error {
	if err := s.checkNames(); err != nil {
		return err
	}
	if err := s.checkReferences(); err != nil {
		return err
	}
	return s.checkHosts()
}

// ValidateDocuments validates each service and contract separately. It returns
// the first fault, services before contracts and in order of name, as a
// *DocumentError. Snapshots share unchanged entries, so that each valid document
// is validated only once.
func (s *Snapshot) ValidateDocuments() error {
	for _, name := range s.Services() {
		e := s.services[name]
		if e.valid.Load() {
			continue
		}
		if err := e.Service.Validate(); err != nil {
			return &DocumentError{Kind: "service", Name: name, Err: err}
		}
		e.valid.Store(true)
	}
	for _, name := range s.Organisations() {
		e := s.contracts[name]
		if e.valid.Load() {
			continue
		}
		if err := e.Contract.Validate(); err != nil {
			return &DocumentError{Kind: "contract", Name: name, Err: err}
		}
		e.valid.Store(true)
	}
	return nil
}

func (s *Snapshot) checkNames() error {
	for _, key := range s.Services() {
		if name := s.services[key].Service.Name; name != key {
			return &NameError{Key: key, Name: name}
		}
	}
	for _, key := range s.Organisations() {
		if name := s.contracts[key].Contract.Organisation; name != key {
			return &NameError{Key: key, Name: name}
		}
	}
	return nil
}

func (s *Snapshot) checkReferences() error {
	for _, organisation := range s.Organisations() {
		c := s.contracts[organisation].Contract
		classes := make(map[string]bool, len(c.Classes))
		for i := range c.Classes {
			classes[c.Classes[i].Name] = true
		}
		for i := range c.Routes {
			r := &c.Routes[i]
			if s.services[r.Service] == nil {
				return &ReferenceError{Organisation: organisation, Route: r.Name, Kind: "service", Name: r.Service}
			}
			if !classes[r.Class] {
				return &ReferenceError{Organisation: organisation, Route: r.Name, Kind: "class", Name: r.Class}
			}
		}
	}
	return nil
}

func (s *Snapshot) checkHosts() error {
	owner := make(map[string]string)
	for _, organisation := range s.Organisations() {
		for _, host := range s.contracts[organisation].Contract.Hosts {
			host = NormalizeHost(host)
			if first, claimed := owner[host]; claimed {
				return &HostError{Host: host, First: first, Second: organisation}
			}
			owner[host] = organisation
		}
	}
	return nil
}
