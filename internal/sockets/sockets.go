// Package sockets shares a process's sockets out among workers, users and the
// process's own calls. A controller that is left alone with every machine and
// every user would else use them all up: connections that users keep open and
// calls to machines that say nothing would keep workers and health checks out.
package sockets

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// own is what the state service, the cloud, the listeners and each other
// controller may need at once.
const own, perPeer = 16, 8

// Plan says how many sockets each use gets; 0: no limit is known.
type Plan struct {
	Calls int // to workers at once; as many idle connections are kept for them
	Front int // connections of workers and users
}

// MakePlan divides the sockets that a process may have.
func MakePlan(most, peers int) Plan {
	if most <= 0 {
		return Plan{}
	}
	rest := max(most-own-perPeer*peers, 8)
	calls := max(rest/10, 2) // an eighth left 900 workers of 1,200 sockets no room
	return Plan{Calls: calls, Front: rest - 2*calls}
}

// Front counts the connections of workers and users and closes idle users'
// ones when there are too many. A worker's connection is never closed for that.
type Front struct {
	most int
	mu   sync.Mutex
	open map[net.Conn]*conn
	idle *list.List // users' connections, the longest idle first
}

type conn struct {
	c    net.Conn
	user bool
	at   *list.Element // in idle
}

type key struct{}

// NewFront makes one for at most so many connections; 0: no limit.
func NewFront(most int) *Front {
	return &Front{most: most, open: map[net.Conn]*conn{}, idle: list.New()}
}

// Server makes a server whose connections are counted. quiet is how long a
// connection may say nothing: that of a machine without power never ends by itself.
func (f *Front) Server(h http.Handler, quiet time.Duration) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 15 * time.Second, WriteTimeout: 15 * time.Second,
		IdleTimeout: quiet, ConnState: f.state, ConnContext: f.context}
}

func (f *Front) context(ctx context.Context, c net.Conn) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return context.WithValue(ctx, key{}, f.get(c))
}

func (f *Front) get(c net.Conn) *conn {
	x := f.open[c]
	if x == nil {
		x = &conn{c: c}
		f.open[c] = x
	}
	return x
}

func (f *Front) state(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.get(c)
	if x.at != nil {
		f.idle.Remove(x.at)
		x.at = nil
	}
	switch s {
	case http.StateNew:
		if f.most > 0 && len(f.open) > f.most {
			if e := f.idle.Front(); e != nil {
				// The server notices, and says so below; until then the next new
				// connection must not count on the same one.
				old := f.idle.Remove(e).(*conn)
				old.at = nil
				_ = old.c.Close()
			}
		}
	case http.StateIdle:
		if x.user {
			x.at = f.idle.PushBack(x)
		}
	case http.StateClosed, http.StateHijacked:
		delete(f.open, c)
	}
}

// Users marks the connections of those that h serves as users'. While more
// than seven eighths of the connections are taken they are told to close.
func (f *Front) Users(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if x, ok := r.Context().Value(key{}).(*conn); ok {
			f.mu.Lock()
			x.user = true
			tight := f.most > 0 && len(f.open) > f.most/8*7
			f.mu.Unlock()
			if tight {
				w.Header().Set("Connection", "close")
			}
		}
		h.ServeHTTP(w, r)
	})
}

// Open is how many connections there are.
func (f *Front) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// Slots bounds calls that run at once. Those to places that did not answer
// last time have a quarter of their own, so that many silent machines never
// hold up calls to the others.
type Slots struct {
	good, bad chan struct{}
	mu        sync.Mutex
	silent    map[string]bool
}

// NewSlots makes slots for n calls at once; 0: without limit.
func NewSlots(n int) *Slots {
	s := &Slots{silent: map[string]bool{}}
	if n > 0 {
		s.bad = make(chan struct{}, max(n/4, 1))
		s.good = make(chan struct{}, max(n-n/4, 1))
	}
	return s
}

// Take waits for a slot for a call to a place, at most so long. The function
// it returns gives the slot back and says whether the place answered.
func (s *Slots) Take(addr string, wait time.Duration) (func(answered bool), bool) {
	s.mu.Lock()
	ch := s.good
	if s.silent[addr] {
		ch = s.bad
	}
	s.mu.Unlock()
	if ch != nil {
		select {
		case ch <- struct{}{}:
		default:
			t := time.NewTimer(wait)
			defer t.Stop()
			select {
			case ch <- struct{}{}:
			case <-t.C:
				return nil, false
			}
		}
	}
	return func(answered bool) {
		s.mu.Lock()
		if answered {
			delete(s.silent, addr)
		} else if len(s.silent) < 1<<14 {
			s.silent[addr] = true
		} else {
			s.silent = map[string]bool{addr: true} // machines that are long gone; what is silent still is found again
		}
		s.mu.Unlock()
		if ch != nil {
			<-ch
		}
	}, true
}
