package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// balancer is a stand-in of the users' load balancer. It works at the connection level.
type balancer struct {
	w    *world
	addr string

	mu    sync.Mutex
	nodes []*balancedNode
}

// balancedNode is what the balancer knows of a node.
type balancedNode struct {
	n              *node
	healthy, ever  bool
	failures, good int
	since          time.Time // when it was marked unhealthy
	conns          map[net.Conn]bool
	codes          map[int]int // answers to probes
}

func newBalancer(w *world) (*balancer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &balancer{w: w, addr: l.Addr().String()}
	for _, n := range w.nodes {
		b.nodes = append(b.nodes, &balancedNode{n: n, conns: map[net.Conn]bool{}, codes: map[int]int{}})
	}
	for _, bn := range b.nodes {
		go b.probe(bn)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

// probe probes a node once per second. Two failures in a row mark it unhealthy, two successes
// healthy again; its connections are reset when it has been unhealthy for 5 s.
func (b *balancer) probe(bn *balancedNode) {
	client := &http.Client{Timeout: time.Second}
	for {
		code := 0
		if response, err := client.Get("http://" + bn.n.listen + "/healthz"); err == nil {
			code = response.StatusCode
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		b.mu.Lock()
		bn.codes[code]++
		if code == 200 {
			bn.good, bn.failures = bn.good+1, 0
			if !bn.healthy && (!bn.ever || bn.good >= 2 && time.Since(bn.since) > 3*time.Second) {
				bn.healthy, bn.ever = true, true
				b.w.logf("balancer: %s is healthy", bn.n.name)
			}
		} else {
			bn.good, bn.failures = 0, bn.failures+1
			if bn.healthy && bn.failures >= 2 {
				bn.healthy, bn.since = false, time.Now()
				b.w.logf("balancer: %s is unhealthy (%d)", bn.n.name, code)
			}
		}
		if !bn.healthy && time.Since(bn.since) > 5*time.Second {
			for c := range bn.conns {
				abort(c)
			}
		}
		b.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-b.w.stopped:
			return
		}
	}
}

// serve forwards a connection to the healthy node with the fewest connections; if it does not
// accept, two others are tried.
func (b *balancer) serve(c net.Conn) {
	tried := map[*balancedNode]bool{}
	for range 3 {
		b.mu.Lock()
		var best *balancedNode
		for _, bn := range b.nodes {
			if bn.healthy && !tried[bn] && (best == nil || len(bn.conns) < len(best.conns)) {
				best = bn
			}
		}
		if best != nil {
			tried[best] = true
			best.conns[c] = true
		}
		b.mu.Unlock()
		if best == nil {
			break
		}
		server, err := net.DialTimeout("tcp", best.n.listen, 500*time.Millisecond)
		if err == nil {
			go func() { _, _ = io.Copy(server, c); _ = server.Close() }()
			_, _ = io.Copy(c, server)
			_ = server.Close()
		}
		b.mu.Lock()
		delete(best.conns, c)
		b.mu.Unlock()
		if err == nil {
			break
		}
	}
	abort(c)
}
