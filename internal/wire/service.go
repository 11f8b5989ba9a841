package wire

import (
	"context"
	"net/http"
	"time"
)

// JSONClient calls a service that takes and gives JSON at one address.
type JSONClient struct {
	client  *Client
	baseURL string
}

// NewJSONClient returns a JSONClient for the service at an address.
func NewJSONClient(address string, options ClientOptions) *JSONClient {
	return &JSONClient{client: NewClient(options), baseURL: BaseURL(address)}
}

// Call is a call of a JSONClient.
type Call struct {
	Method  string
	Path    string // with its parameters
	Body    []byte // nil: none
	Timeout time.Duration
}

// Call makes a call and returns the body of its response. A response with a status other
// than 200 is a StatusError.
func (s *JSONClient) Call(ctx context.Context, call Call) ([]byte, error) {
	response, err := s.client.Do(ctx, Request{
		Method:      call.Method,
		URL:         s.baseURL + call.Path,
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

// CallAndDecode makes a call and decodes the body of its response.
func CallAndDecode[T any](ctx context.Context, service *JSONClient, call Call, decode func([]byte) (T, error)) (T, error) {
	body, err := service.Call(ctx, call)
	if err != nil {
		var none T
		return none, err
	}
	return decode(body)
}
