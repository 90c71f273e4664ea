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
	// Ref is the version.
	Ref snapshot.Ref
	// Err is the cause: an error of platform or snapshot. After a
	// *store.NotFoundError the version has been superseded for long, and
	// the head should be read again.
	Err error
}

// Error implements error.
func (e *LoadError) Error() string {
	return fmt.Sprintf("load version %d (%s): %v", e.Ref.Version, e.Ref.Hash, e.Err)
}

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Err }

// UnexpectedActionError reports an action that the driver does not know: a
// fault of the program.
type UnexpectedActionError struct {
	// Action is the action.
	Action core.Action
}

// Error implements error.
func (e *UnexpectedActionError) Error() string { return fmt.Sprintf("unexpected action %T", e.Action) }

// resultOf classifies a call's error. Anything that is not known to be without
// effect is of unknown outcome.
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
