package e2e

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/sockets"
	"stairrelay/internal/users"
	"stairrelay/internal/workers"
)

const (
	// benchConnections is the number of connections on which BenchmarkHeartbeat sends
	// heartbeats in turn.
	benchConnections = 200
	// heartbeatBody is the body of a typical heartbeat, with three tasks.
	heartbeatBody = `{"coach":"m-000231","addr":"10.1.0.232:9000","fleet":"g8","yard":"a","standby":true,"shift":1,"stamp":88,"baton":41,"recallS":null,"legs":[` +
		`{"leg":"j-000412/3","boarding":2097153,"status":"running"},{"leg":"j-000412/4","boarding":2097154,"status":"fetching"},{"leg":"j-000398/0","boarding":2097100,"status":"ended","cause":"done"}]}`
)

// BenchmarkHeartbeat measures a heartbeat and its response over HTTP on the loopback
// interface, including the sender's work. Connections are reused. The controller knows
// none of the machines; BenchmarkFleet measures the handling of known machines.
func BenchmarkHeartbeat(b *testing.B) {
	addr, _ := startHeartbeatServer(b, 5*benchConnections)
	var senders []*heartbeatSender
	for range benchConnections {
		senders = append(senders, dialHeartbeatSender(b, addr))
	}
	time.Sleep(time.Second) // until the controller regards the store as unavailable
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		senders[i%len(senders)].mustSend(b)
	}
}

// startHeartbeatServer starts a controller whose store rejects all calls. After half a
// second, the controller regards the store as unavailable and responds to heartbeats
// with 503 without delay. The server keeps at most maxConnections connections open; 0
// means no limit. The function returns the server's address and connection limiter.
func startHeartbeatServer(tb testing.TB, maxConnections int) (string, *sockets.ConnectionLimiter) {
	tb.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	config := controller.Config{
		Self:              "n0",
		Nodes:             []cluster.NodeID{"n0"},
		Teams:             []cluster.Team{{Name: "t"}},
		HeartbeatInterval: cluster.Time(5 * time.Second),
		WorkerLease:       cluster.Time(26 * time.Second),
		StoreRPS:          100,
		WriteRPS:          100,
		MaxValueBytes:     8192,
		MaxTxnOps:         16,
		CloudRPS:          5,
		InstanceID:        "b",
		Tuning:            controller.DefaultTuning(),
	}
	eng := engine.New(config, 0, log)
	ignore := func(messages.Effect) {}
	rejectStoreCall := func(effect messages.Effect) {
		switch effect := effect.(type) {
		case messages.StoreList:
			go eng.DeliverReply(effect.Call, messages.ListReply{Outcome: messages.NotApplied})
		case messages.StoreGet:
			go eng.DeliverReply(effect.Call, messages.GetReply{Outcome: messages.NotApplied})
		case messages.StoreTxn:
			go eng.DeliverReply(effect.Call, messages.TxnReply{Outcome: messages.NotApplied})
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	go eng.Run(ctx, engine.Executors{Store: rejectStoreCall, Cloud: ignore, Workers: ignore, Peers: func(messages.PeerCall) {}})
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	limiter := sockets.NewConnectionLimiter(maxConnections)
	server := limiter.NewServer(users.Handler(eng, limiter.UserMiddleware, limiter.WorkerMiddleware(workers.Handler(eng, log))), time.Minute)
	go func() { _ = server.Serve(listener) }()
	tb.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), limiter
}

// heartbeatSender sends heartbeats with heartbeatBody on one connection.
type heartbeatSender struct {
	connection     net.Conn
	reader         *bufio.Reader
	request        []byte
	closeRequested bool // the last response had the header "Connection: close"
}

func dialHeartbeatSender(tb testing.TB, addr string) *heartbeatSender {
	tb.Helper()
	conn, err := new(net.Dialer).DialContext(tb.Context(), "tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	header := "POST /checkin HTTP/1.1\r\n" +
		"Host: 10.0.0.1:8080\r\n" +
		"Content-Type: application/json\r\n" +
		"Content-Length: " + strconv.Itoa(len(heartbeatBody)) + "\r\n\r\n"
	return &heartbeatSender{
		connection: conn,
		reader:     bufio.NewReaderSize(conn, 1024),
		request:    []byte(header + heartbeatBody),
	}
}

func (s *heartbeatSender) mustSend(tb testing.TB) {
	tb.Helper()
	if err := s.sendHeartbeat(); err != nil {
		tb.Fatal(err)
	}
}

// sendHeartbeat sends a heartbeat and reads the response. It returns an error if the
// status is neither 421 nor 503.
func (s *heartbeatSender) sendHeartbeat() error {
	if _, err := s.connection.Write(s.request); err != nil {
		return err
	}
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusMisdirectedRequest && response.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("status %d, want 421 or 503", response.StatusCode)
	}
	s.closeRequested = response.Close
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// isClosedByServer reports whether the server has closed the idle connection. HTTP
// clients check this before they reuse a connection. The check is a read that does not
// block. It uses no read deadline, because on a busy machine the deadline may pass before
// the read begins, and the read would then fail without detecting the close.
func (s *heartbeatSender) isClosedByServer() bool {
	connection, ok := s.connection.(syscall.Conn)
	if !ok {
		return true
	}
	rawConnection, err := connection.SyscallConn()
	if err != nil {
		return true
	}
	var readErr error
	err = rawConnection.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, readErr = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err != nil || !errors.Is(readErr, syscall.EAGAIN)
}
