package model

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// ReadableText reports whether a text can be sent in a message between nodes: at most limit bytes of
// UTF-8.
func ReadableText(s string, limit int) bool { return len(s) <= limit && utf8.ValidString(s) }

// ValidText reports whether a text from outside the fleet, such as an identifier, may be kept and
// passed on: a ReadableText without control characters, which headers can't hold.
func ValidText(s string, limit int) bool {
	return ReadableText(s, limit) && !strings.ContainsFunc(s, unicode.IsControl)
}
