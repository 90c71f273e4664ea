package control

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/coordination/core"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
	"github.com/jacinthgate/jacinthgate/state/store"
)

// LoadError reports a version that could not be loaded.
type LoadError struct {
	// Ref identifies the version.
	Ref snapshot.Ref
	// Err is the cause: an error of the platform's store or of package
	// snapshot. A *store.NotFoundError means that the version was superseded
	// long ago and removed; the caller should read the head again.
	Err error
}

// Error implements error.
func (e *LoadError) Error() string {
	return fmt.Sprintf("load version %d (%s): %v", e.Ref.Version, e.Ref.Hash, e.Err)
}

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Err }

// UnexpectedActionError reports an action of a state machine that the driver
// does not implement, which is a bug.
type UnexpectedActionError struct {
	// Action is the action that is not implemented.
	Action core.Action
}

// Error implements error.
func (e *UnexpectedActionError) Error() string { return fmt.Sprintf("unexpected action %T", e.Action) }

// resultOf classifies the error of a call to the platform. Any error that does
// not prove that the call had no effect is classified as accept.Unknown.
func resultOf(err error) accept.Result {
	var condition *store.ConditionError
	var unavailable *store.UnavailableError
	var refused *store.RefusedError
	var decode *accept.DecodeError
	switch {
	case err == nil:
		return accept.Done
	case errors.As(err, &condition):
		return accept.ConditionFailed
	case errors.As(err, &unavailable):
		return accept.Failed
	case errors.As(err, &decode):
		return accept.Failed
	case errors.As(err, &refused):
		return accept.Failed
	default:
		return accept.Unknown
	}
}
