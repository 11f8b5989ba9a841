package wiretest

import (
	"io"
	"net/http"
	"testing"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
)

// Request is what a test compares of a request.
type Request struct {
	Method      string
	URI         string
	ContentType string
	Body        string
}

// RequestTest is an effect and the request that a server gets for it.
type RequestTest struct {
	Name   string
	Effect messages.Effect
	Want   Request
}

// CheckRequests checks the requests that a client sends for effects. The function
// newExecutor makes a client of the service at an address and returns its method that
// carries out effects.
func CheckRequests(t *testing.T, newExecutor func(address string, reply engine.ReplyFunc) func(messages.Effect), tests []RequestTest) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.Name, func(t *testing.T) {
			address, requests := ServeAndRecord(t, "")
			Execute[any](t, func(reply engine.ReplyFunc) { newExecutor(address, reply)(test.Effect) })
			if got := <-requests; got != test.Want {
				t.Errorf("sent %+v, want %+v", got, test.Want)
			}
		})
	}
}

// maxRecorded is the number of requests that a server records.
const maxRecorded = 16

// ServeAndRecord starts a server that answers each request with 200 and the same body.
// It returns the server's address and the requests that come.
func ServeAndRecord(t *testing.T, responseBody string) (address string, requests <-chan Request) {
	t.Helper()
	recorded := make(chan Request, maxRecorded)
	address = Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		recorded <- Request{
			Method:      r.Method,
			URI:         r.RequestURI,
			ContentType: r.Header.Get("Content-Type"),
			Body:        string(body),
		}
		_, _ = io.WriteString(w, responseBody)
	}))
	return address, recorded
}
