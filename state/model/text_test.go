package model

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTextsThatOthersCannotReadAreInvalid(t *testing.T) {
	for _, text := range []string{"", "i-7f3a91c2", "Árvíz 東京 😀", "a/b@c%20"} {
		must.True(t, ValidText(text, 24), must.Sprintf("%q", text))
	}
	for _, text := range []string{"\xff", "a\xf0\x9f\x98", "\xed\xa0\x80", "a\x00b", "a\r\nX: y", "\x7f", "a\u0085", "0123456789012345678901234"} {
		must.False(t, ValidText(text, 24), must.Sprintf("%q", text))
	}
}
