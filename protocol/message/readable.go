package message

import (
	"math"
	"reflect"
	"strconv"
	"unicode/utf8"
)

// ValueError reports a value that Decode refuses.
type ValueError struct {
	// Field is the path of the field, such as Records[2].Instance.
	Field string
	// Reason describes the fault and, if it is a text, the beginning of the text.
	Reason string
}

// Error implements error.
func (e *ValueError) Error() string {
	return e.Field + ": " + e.Reason
}

// maxQuoted bounds the part of an unreadable text in a ValueError, in bytes.
const maxQuoted = 96

// checkValues returns a *ValueError for the first value in m that Decode refuses.
func checkValues(m Message) error {
	if field, reason := unreadable(reflect.ValueOf(m).Elem()); reason != "" {
		return &ValueError{Field: field, Reason: reason}
	}
	return nil
}

// unreadable returns the path in v of the first value that Decode refuses, and the reason, which is
// empty if there is none.
func unreadable(v reflect.Value) (path, reason string) {
	switch v.Kind() {
	case reflect.String:
		if s := v.String(); !utf8.ValidString(s) {
			return "", "not UTF-8: " + strconv.Quote(s[:min(len(s), maxQuoted)])
		}
	case reflect.Float64:
		if f := v.Float(); math.IsNaN(f) || math.IsInf(f, 0) {
			return "", "not a finite number"
		}
	case reflect.Slice:
		return unreadableElement(v)
	case reflect.Struct:
		for i := range v.NumField() {
			if path, reason := unreadable(v.Field(i)); reason != "" {
				return joinPath(v.Type().Field(i).Name, path), reason
			}
		}
	}
	return "", ""
}

// unreadableElement is unreadable for a slice.
func unreadableElement(v reflect.Value) (path, reason string) {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		return "", "" // a byte string
	}
	if v.Len() > limits.Elements {
		return "", strconv.Itoa(v.Len()) + " elements"
	}
	for i := range v.Len() {
		if path, reason := unreadable(v.Index(i)); reason != "" {
			return joinPath("["+strconv.Itoa(i)+"]", path), reason
		}
	}
	return "", ""
}

// joinPath joins the steps of a path: field names and indices in brackets.
func joinPath(step, rest string) string {
	if rest == "" || rest[0] == '[' {
		return step + rest
	}
	return step + "." + rest
}
