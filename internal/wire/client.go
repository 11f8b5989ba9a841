package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// MaxResponseSize is the size limit for response bodies, in bytes.
	MaxResponseSize = 16 << 20
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 60 * time.Second
	// bufferSize is the size of the read and write buffers of a connection, in bytes.
	// It is below the default of net/http, since many connections may be open.
	bufferSize = 2 << 10
)

// Content types of request bodies.
const (
	ContentTypeJSON = "application/json"
	ContentTypeCBOR = "application/cbor"
)

// ClientOptions limits the connections of a Client.
type ClientOptions struct {
	DialTimeout         time.Duration
	MaxIdleConnsPerHost int // idle connections kept per host
	MaxIdleConns        int // idle connections kept in total; 0 means no limit
}

// Client sends HTTP requests and reuses its connections. It does not follow redirects.
type Client struct {
	http *http.Client
}

// NewClient returns a Client whose connections are limited by the given options.
func NewClient(options ClientOptions) *Client {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        options.MaxIdleConns,
		MaxIdleConnsPerHost: options.MaxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	}
	useLastResponse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: useLastResponse}}
}

// Request is an HTTP request.
type Request struct {
	Method      string
	URL         string
	ContentType string // of the body
	Body        []byte // nil means no body
	Timeout     time.Duration
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Body   []byte
}

// Do sends a request and reads the whole response. The error is ErrResponseTooLarge if
// the body of the response exceeds MaxResponseSize, and wraps ErrNotSent if the request
// could not be created or dialing the server failed. After an error that does not wrap
// ErrNotSent, the request may have been applied, or may be applied later.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	httpRequest, err := request.newHTTPRequest(ctx)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return Response{}, classifyCallError(err)
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, MaxResponseSize+1))
	if err != nil {
		return Response{}, fmt.Errorf("reading response: %w", err)
	}
	if len(body) > MaxResponseSize {
		return Response{}, ErrResponseTooLarge
	}
	return Response{Status: httpResponse.StatusCode, Body: body}, nil
}

func (r *Request) newHTTPRequest(ctx context.Context) (*http.Request, error) {
	if r.Body == nil {
		return http.NewRequestWithContext(ctx, r.Method, r.URL, nil)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", r.ContentType)
	return httpRequest, nil
}

// classifyCallError wraps an error of a call that got no response. The result also wraps
// ErrNotSent if dialing the server failed. Otherwise the request may have been applied.
func classifyCallError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("no response received: %w", err)
}

// BaseURL returns the HTTP URL of a host:port address, without a path.
func BaseURL(address string) string { return "http://" + address }
