package wire

import (
	"context"
	"net/http"
	"time"
)

// JSONClient calls a service with a JSON API at a fixed address.
type JSONClient struct {
	client  *Client
	baseURL string
}

// NewJSONClient returns a client for the service at a host:port address.
func NewJSONClient(address string, options ClientOptions) *JSONClient {
	return &JSONClient{client: NewClient(options), baseURL: BaseURL(address)}
}

// Call is a request to the service of a JSONClient.
type Call struct {
	Method  string
	Path    string // with query parameters
	Body    []byte // nil means no body
	Timeout time.Duration
}

// Call sends a request and returns the body of the response. If the status is not 200,
// it returns a *StatusError.
func (c *JSONClient) Call(ctx context.Context, call Call) ([]byte, error) {
	response, err := c.client.Do(ctx, Request{
		Method:      call.Method,
		URL:         c.baseURL + call.Path,
		ContentType: ContentTypeJSON,
		Body:        call.Body,
		Timeout:     call.Timeout,
	})
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, &StatusError{Status: response.Status, Body: response.Body}
	}
	return response.Body, nil
}

// CallAndDecode sends a request and decodes the body of the response. The error is that of
// the call or of decode.
func CallAndDecode[T any](ctx context.Context, client *JSONClient, call Call, decode func([]byte) (T, error)) (T, error) {
	body, err := client.Call(ctx, call)
	if err != nil {
		var zero T
		return zero, err
	}
	return decode(body)
}
