package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// maxAnswer bounds what is read of any answer.
const maxAnswer = 16 << 20

// NewClient makes an HTTP client with few, kept connections: so many to a host
// and, unless 0, so many in all.
func NewClient(dial time.Duration, perHost, idle int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dial, KeepAlive: -1}).DialContext,
			MaxIdleConns:        idle,
			MaxIdleConnsPerHost: perHost,
			IdleConnTimeout:     60 * time.Second,
			DisableCompression:  true,
			ReadBufferSize:      2 << 10, // a thousand connections are kept
			WriteBufferSize:     2 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// ErrNotSent marks a call that certainly never reached the other side.
var ErrNotSent = errors.New("not sent")

// Call makes a request and reads its whole answer. A connection that could not
// be made is ErrNotSent; any other error leaves open what has happened.
func Call(ctx context.Context, h *http.Client, method, url, ctype string, body []byte) (int, []byte, error) {
	var rd io.Reader
	if body != nil {
		rd = strings.NewReader(string(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, url, rd)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if body != nil {
		req.Header.Set("Content-Type", ctype)
	}
	resp, err := h.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return 0, nil, fmt.Errorf("calling: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, nil, fmt.Errorf("reading answer: %w", err)
	}
	return resp.StatusCode, b, nil
}
