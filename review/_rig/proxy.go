package main

import (
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"
)

// freeAddr returns a loopback address with a free port below the range from which the system
// chooses ports, so that no other socket gets it before the controller opens it.
func freeAddr() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.Intn(18000)))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
}

// linkMode says what a link does with its packets.
type linkMode int

const (
	linkPass  linkMode = iota
	linkHold           // packets are held back and delivered in order when the interruption ends
	linkReset          // connections are reset, and new ones are refused
)

// proxy forwards connections to an address. While it holds, nothing passes; what was sent on
// connections that existed before is delivered when the interruption ends, and connections that
// were attempted meanwhile never complete.
type proxy struct {
	addr   string
	target string

	mu       sync.Mutex
	cond     *sync.Cond
	mode     linkMode
	conns    map[net.Conn]bool
	listener net.Listener
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", freeAddr())
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}, listener: l}
	p.cond = sync.NewCond(&p.mu)
	go p.accept(l)
	return p, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == linkReset {
		_ = p.listener.Close()
		for c := range p.conns {
			abort(c)
		}
	} else if l, err := net.Listen("tcp", p.addr); err == nil { // it was closed
		p.listener = l
		go p.accept(l)
	}
	p.cond.Broadcast()
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve(c net.Conn) {
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	switch mode {
	case linkReset:
		abort(c)
		return
	case linkHold: // the attempt never completes: nothing sent on it is ever delivered
		buffer := make([]byte, 4096)
		for {
			if _, err := c.Read(buffer); err != nil {
				_ = c.Close()
				return
			}
		}
	case linkPass:
	}
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		abort(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.copy(server, c) }()
	go func() { defer wg.Done(); p.copy(c, server) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		for p.mode == linkHold {
			p.cond.Wait()
		}
		p.mu.Unlock()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
