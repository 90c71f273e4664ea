package sidecar

// reservedFiles is the number of descriptors that are not for connections.
const reservedFiles = 200

// maxCallers returns the number of callers' connections that may be open; 0 is no bound. A quarter
// of the descriptors remains for the store and for connections with other nodes and backend servers.
func (s *Settings) maxCallers() int {
	if s.MaxFiles == 0 {
		return 0
	}
	return max(1, (s.MaxFiles-reservedFiles)*3/4)
}
