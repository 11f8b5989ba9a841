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
	// MaxResponseSize bounds what is read of any answer.
	MaxResponseSize = 16 << 20
	// idleTimeout is how long a connection is kept without a call.
	idleTimeout = 60 * time.Second
	// bufferSize is small, since a thousand connections may be kept.
	bufferSize = 2 << 10
)

// The content types of request bodies.
const (
	ContentTypeJSON = "application/json"
	ContentTypeCBOR = "application/cbor"
)

// ErrNotSent marks a call that certainly never reached the other side.
var ErrNotSent = errors.New("not sent")

// ErrResponseTooLarge marks an answer longer than MaxAnswer, none of which is used.
var ErrResponseTooLarge = errors.New("answer too large")

// ClientOptions bound a client's connections.
type ClientOptions struct {
	DialTimeout    time.Duration
	MaxIdlePerHost int // idle connections that are kept for each host
	MaxIdle        int // idle connections that are kept in all; 0: not limited
}

// Client makes HTTP calls over few, kept connections. It follows no redirects.
type Client struct {
	http *http.Client
}

// NewClient makes a client.
func NewClient(options ClientOptions) *Client {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: -1}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        options.MaxIdle,
		MaxIdleConnsPerHost: options.MaxIdlePerHost,
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

// Response is a call's whole answer.
type Response struct {
	Status int
	Body   []byte
}

// Do makes a call and reads its whole answer. A connection that could not be
// made is ErrNotSent; any other error leaves open what has happened.
func (c *Client) Do(request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout)
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
		return Response{}, fmt.Errorf("reading answer: %w", err)
	}
	if len(body) > MaxResponseSize {
		return Response{}, ErrResponseTooLarge
	}
	return Response{Status: incoming.StatusCode, Body: body}, nil
}

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

// JSONService calls a service that takes and gives JSON at one address.
type JSONService struct {
	client  *Client
	baseURL string
	timeout time.Duration
}

// NewJSONService makes a JSONService whose calls end after timeout.
func NewJSONService(addr string, timeout time.Duration, options ClientOptions) *JSONService {
	return &JSONService{
		client:  NewClient(options),
		baseURL: BaseURL(addr),
		timeout: timeout,
	}
}

// Call makes a call; a nil body is none.
func (s *JSONService) Call(method, path string, body []byte) (Response, error) {
	return s.client.Do(Request{
		Method:      method,
		URL:         s.baseURL + path,
		ContentType: ContentTypeJSON,
		Body:        body,
		Timeout:     s.timeout,
	})
}

// BaseURL is the URL of an address with a port, without a path.
func BaseURL(addr string) string { return "http://" + addr }
