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
	"os"
	"strconv"
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
	// benchConnections is the number of workers that send heartbeats in turn.
	benchConnections = 200
	// benchHeartbeat is a heartbeat with three tasks, as most are.
	benchHeartbeat = `{"coach":"m-000231","addr":"10.1.0.232:9000","fleet":"g8","yard":"a","standby":true,"shift":1,"stamp":88,"baton":41,"recallS":null,"legs":[` +
		`{"leg":"j-000412/3","boarding":2097153,"status":"running"},{"leg":"j-000412/4","boarding":2097154,"status":"fetching"},{"leg":"j-000398/0","boarding":2097100,"status":"ended","cause":"done"}]}`
)

// BenchmarkHeartbeat measures the whole path of a worker's heartbeat on loopback:
// HTTP, JSON, the engine and the controller and back, on kept connections. The
// sender's work is in it too, made as small as possible. The controller knows none
// of the machines: BenchmarkFleet measures what it does with those it knows.
func BenchmarkHeartbeat(b *testing.B) {
	addr, _ := startHeartbeatServer(b, 5*benchConnections)
	var senders []*heartbeatSender
	for range benchConnections {
		senders = append(senders, dialHeartbeatSender(b, addr))
	}
	time.Sleep(time.Second) // until the controller has found that it can't acquire its shard
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		senders[i%len(senders)].mustSend(b)
	}
}

// startHeartbeatServer starts a controller whose state service refuses everything:
// after half a second heartbeats get their 503 at once. It has so many connections
// for workers and users. It returns its address, and counts what is open.
func startHeartbeatServer(tb testing.TB, connections int) (string, *sockets.ConnectionLimiter) {
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
	nothing := func(messages.Effect) {}
	refuse := func(effect messages.Effect) {
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
	go eng.Run(ctx, engine.Executors{Store: refuse, Cloud: nothing, Workers: nothing, Peers: func(messages.PeerCall) {}})
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	front := sockets.NewConnectionLimiter(connections)
	server := front.NewServer(users.Handler(eng, front.UserMiddleware, front.WorkerMiddleware(workers.Handler(eng, log))), time.Minute)
	go func() { _ = server.Serve(listener) }()
	tb.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), front
}

// heartbeatSender sends the same heartbeat again and again on one connection.
type heartbeatSender struct {
	connection     net.Conn
	reader         *bufio.Reader
	request        []byte
	closeAnnounced bool // the last answer said so
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
		"Content-Length: " + strconv.Itoa(len(benchHeartbeat)) + "\r\n\r\n"
	return &heartbeatSender{
		connection: conn,
		reader:     bufio.NewReaderSize(conn, 1024),
		request:    []byte(header + benchHeartbeat),
	}
}

func (s *heartbeatSender) mustSend(tb testing.TB) {
	tb.Helper()
	if err := s.sendHeartbeat(); err != nil {
		tb.Fatal(err)
	}
}

// sendHeartbeat sends the heartbeat and reads the answer.
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
		return fmt.Errorf("status %d", response.StatusCode)
	}
	s.closeAnnounced = response.Close
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// isClosedByServer tells whether the server has closed the connection while it was
// idle, as any client checks before it uses one again.
func (s *heartbeatSender) isClosedByServer() bool {
	_ = s.connection.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = s.connection.SetReadDeadline(time.Time{}) }()
	_, err := s.reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
