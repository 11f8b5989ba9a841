package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/engine"
	"stairrelay/internal/sockets"
	"stairrelay/internal/users"
	"stairrelay/internal/workers"
)

// BenchmarkReport measures the whole path of a worker's report on loopback:
// HTTP, JSON, the engine and the core and back, on 200 kept connections. The
// sender's part is in it too, made as small as possible. The core knows none
// of the machines: what it does with those it knows is BenchmarkFleet's.
func BenchmarkReport(b *testing.B) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	cfg := core.Config{Self: "n0", Nodes: []core.NodeID{"n0"}, Teams: []core.Team{{Name: "t"}}, ReportEvery: core.Time(5 * time.Second), Lease: core.Time(26 * time.Second),
		StoreRPS: 100, WriteRPS: 100, ValueBytes: 8192, TxnOps: 16, CloudRPS: 5, Boot: "b", Tuning: core.DefaultTuning()}
	e := engine.New(cfg, 0, log)
	nothing := func(core.Effect) {}
	// The state service refuses everything: after half a second reports get their 503 at once.
	refuse := func(f core.Effect) {
		switch f := f.(type) {
		case core.StoreList:
			go e.Answer(f.Call, core.ListReply{Out: core.NotDone})
		case core.StoreGet:
			go e.Answer(f.Call, core.GetReply{Out: core.NotDone})
		case core.StoreTxn:
			go e.Answer(f.Call, core.TxnReply{Out: core.NotDone})
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run(ctx, engine.Actors{Store: refuse, Cloud: nothing, Workers: nothing, Peers: func(core.PeerCall) {}})
	front := sockets.NewFront(1000)
	srv := front.Server(users.Handler(e, front.Users, workers.Handler(e, log)), time.Minute)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	type sender struct {
		c net.Conn
		r *bufio.Reader
	}
	var all []sender
	for range 200 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		all = append(all, sender{c, bufio.NewReaderSize(c, 1024)})
	}
	body := `{"coach":"m-000231","addr":"10.1.0.232:9000","fleet":"g8","yard":"a","standby":true,"shift":1,"stamp":88,"baton":41,"recallS":null,"legs":[` +
		`{"leg":"j-000412/3","boarding":2097153,"status":"running"},{"leg":"j-000412/4","boarding":2097154,"status":"fetching"},{"leg":"j-000398/0","boarding":2097100,"status":"ended","cause":"done"}]}`
	request := []byte("POST /checkin HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	time.Sleep(time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s := all[i%len(all)]
		if _, err := s.c.Write(request); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(s.r, nil)
		if err != nil {
			b.Fatal(err)
		}
		if resp.StatusCode != 421 && resp.StatusCode != 503 {
			b.Fatal(fmt.Errorf("status %d", resp.StatusCode))
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
