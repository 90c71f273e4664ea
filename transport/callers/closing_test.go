package callers

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestResponseCarriesConnectionCloseIfNoFurtherRequestIsRead(t *testing.T) {
	for name, body := range map[string]string{
		"long body":     fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxDiscard+1, strings.Repeat("x", maxDiscard+1)),
		"expected body": "Content-Length: 3\r\nExpect: 100-continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
			c, br := dial(t, addr)
			go func() { _, _ = io.WriteString(c, "POST /1 HTTP/1.1\r\nHost: h\r\n"+body) }()
			resp, _ := readResponse(t, br)
			must.Eq(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
			_, _ = io.WriteString(c, get("/2")) // the read returns the error of a closed connection
			if _, err := http.ReadResponse(br, nil); err != nil {
				must.True(t, resp.Close, must.Sprint("the connection was closed without Connection: close in the response: ", err))
			}
		})
	}
}
