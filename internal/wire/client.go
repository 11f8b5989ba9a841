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
	// MaxResponseSize bounds what is read of any response.
	MaxResponseSize = 16 << 20
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 60 * time.Second
	// bufferSize is small, since a thousand connections may be open.
	bufferSize = 2 << 10
)

// The content types of request bodies.
const (
	ContentTypeJSON = "application/json"
	ContentTypeCBOR = "application/cbor"
)

// ClientOptions bound the connections of a Client.
type ClientOptions struct {
	DialTimeout         time.Duration
	MaxIdleConnsPerHost int // idle connections kept for each host
	MaxIdleConns        int // idle connections kept in all; 0: not limited
}

// Client makes HTTP calls and keeps their connections for later calls. It follows no
// redirects.
type Client struct {
	http *http.Client
}

// NewClient makes a Client.
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

// Request is one call.
type Request struct {
	Method      string
	URL         string
	ContentType string // of the body
	Body        []byte // nil: none
	Timeout     time.Duration
}

// Response is the whole response to a call.
type Response struct {
	Status int
	Body   []byte
}

// Do makes a call and reads its whole response. A connection that could not be
// made is ErrNotSent; after any other error the request may have been carried out, or
// may still be.
func (c *Client) Do(ctx context.Context, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	outgoing, err := request.build(ctx)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	incoming, err := c.http.Do(outgoing)
	if err != nil {
		return Response{}, classifyCallError(err)
	}
	defer incoming.Body.Close()
	body, err := io.ReadAll(io.LimitReader(incoming.Body, MaxResponseSize+1))
	if err != nil {
		return Response{}, fmt.Errorf("reading response: %w", err)
	}
	if len(body) > MaxResponseSize {
		return Response{}, ErrResponseTooLarge
	}
	return Response{Status: incoming.StatusCode, Body: body}, nil
}

// build makes the HTTP request.
func (r *Request) build(ctx context.Context) (*http.Request, error) {
	if r.Body == nil {
		return http.NewRequestWithContext(ctx, r.Method, r.URL, nil)
	}
	outgoing, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	outgoing.Header.Set("Content-Type", r.ContentType)
	return outgoing, nil
}

// classifyCallError tells a connection that was never made from a call that may have
// been carried out.
func classifyCallError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("calling: %w", err)
}

// BaseURL is the URL of an address with a port, without a path.
func BaseURL(address string) string { return "http://" + address }
