package users

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"stairrelay/internal/messages"
)

// rejectingRequester rejects each submission with its reason, as the controller does.
type rejectingRequester struct{}

func (rejectingRequester) Request(_ context.Context, makeEvent func(messages.RequestID) messages.Event) (messages.Respond, bool) {
	submit, isSubmit := makeEvent(1).(messages.Submit)
	return messages.Respond{Status: submit.Rejection, Error: submit.Reason}, isSubmit
}

// TestErrorLinesAreShort guards against responses with a line above 64 KiB: the text of a JSON
// error quotes the submission, which is almost as long.
func TestErrorLinesAreShort(t *testing.T) {
	digits := func(beginning, end string) string {
		return beginning + strings.Repeat("9", maxBodySize-len(beginning)-len(end)) + end
	}
	for name, body := range map[string]string{
		"long number, no ID": digits(`{"legs":`, `}`),
		"long number":        digits(`{"id":"j-1","legs":`, `}`),
		"long exponent":      digits(`{"id":"j-1","vcpus":1e`, `}`),
		"long string":        digits(`{"id":"j-1","legs":"`, `"}`),
		"long field":         digits(`{"id":"j-1","`, `":1}`),
		"long ID":            digits(`{"id":"j-`, `"}`),
	} {
		t.Run(name, func(t *testing.T) {
			got := serve(t, rejectingRequester{}, http.MethodPost, "/v2/runs", body)
			if got.Code != http.StatusBadRequest || got.Body.Len() > maxReasonLength+len("...\n") || got.Body.Len() < 20 {
				t.Errorf("status %d, and a response of %d bytes", got.Code, got.Body.Len())
			}
		})
	}
}
