package platform

import "strconv"

// Paths of the platform's HTTP protocol. Items are read by GET PathItem?key=
// and GET PathList?prefix=&after=&limit=, and written by POST PathTransact.
// Objects are read, written and removed by GET, PUT and DELETE
// PathObjects/<key>, and listed by GET PathObjects?prefix=&after=&limit=.
const (
	PathItem     = "/table/item"
	PathList     = "/table/list"
	PathTransact = "/table/transact"
	PathObjects  = "/objects"
)

// TransactRequest is the body of POST PathTransact.
type TransactRequest struct {
	// Writes are all carried out or none.
	Writes []Write `json:"writes"`
}

// TransactResponse is the body of the answer 200 to POST PathTransact.
type TransactResponse struct {
	// Revisions are the items' new revisions, in order of the writes.
	Revisions []uint64 `json:"revisions"`
}

// ConditionResponse is the body of the answer 409 to POST PathTransact.
type ConditionResponse struct {
	// Item is the first item whose condition failed, as it is.
	Item Item `json:"item"`
}

// ItemsResponse is the body of the answer 200 to GET PathList.
type ItemsResponse struct {
	// Items are in order of key.
	Items []Item `json:"items"`
}

// KeysResponse is the body of the answer 200 to GET PathObjects.
type KeysResponse struct {
	// Keys are in order.
	Keys []string `json:"keys"`
}

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Text is the start of the answer's body.
	Text string
}

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) + ": " + e.Text }

// SizeError reports an answer that exceeds the client's limit.
type SizeError struct {
	// Limit is the largest answer taken, in bytes.
	Limit int64
}

// Error implements error.
func (e *SizeError) Error() string {
	return "answer exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}
