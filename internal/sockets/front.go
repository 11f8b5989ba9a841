package sockets

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// The time-outs of a server, beside the one for idle connections.
const (
	headerTimeout   = 10 * time.Second
	transferTimeout = 15 * time.Second
)

// busyEighths is the share, in eighths of the limit, above which users'
// connections are closed after each answer.
const busyEighths = 7

// Front counts the connections of workers and users and closes idle users'
// ones when there are too many. A worker's connection is never closed for that.
type Front struct {
	limit int // 0: none
	mu    sync.Mutex
	open  map[net.Conn]*connection
	idle  *list.List // users' connections, the longest idle first
}

type connection struct {
	net.Conn
	user    bool
	idlePos *list.Element // in Front.idle; nil: not there
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// NewFront makes a Front for at most so many connections; 0: no limit.
func NewFront(limit int) *Front {
	return &Front{limit: limit, open: map[net.Conn]*connection{}, idle: list.New()}
}

// Server makes a server whose connections are counted. A connection that says
// nothing for idleTimeout is closed: that of a machine without power never ends
// by itself.
func (f *Front) Server(handler http.Handler, idleTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       transferTimeout,
		WriteTimeout:      transferTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         f.connState,
		ConnContext:       f.connContext,
	}
}

// connContext puts a connection's entry into the context of its requests.
func (f *Front) connContext(ctx context.Context, conn net.Conn) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, f.entry(conn))
}

// entry is a connection's entry, made if need be.
func (f *Front) entry(conn net.Conn) *connection {
	entry := f.open[conn]
	if entry == nil {
		entry = &connection{Conn: conn}
		f.open[conn] = entry
	}
	return entry
}

// connState follows a connection's states.
func (f *Front) connState(conn net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := f.entry(conn)
	f.removeIdle(entry)
	switch state {
	case http.StateNew:
		f.makeRoom()
	case http.StateIdle:
		if entry.user {
			entry.idlePos = f.idle.PushBack(entry)
		}
	case http.StateClosed, http.StateHijacked:
		delete(f.open, conn)
	}
}

func (f *Front) removeIdle(entry *connection) {
	if entry.idlePos != nil {
		f.idle.Remove(entry.idlePos)
		entry.idlePos = nil
	}
}

// makeRoom closes the user's connection that has been idle the longest if there
// are too many connections. The server reports the close by connState; until
// then the next new connection must not count on the same one, so it leaves the
// list here.
func (f *Front) makeRoom() {
	if f.limit <= 0 || len(f.open) <= f.limit {
		return
	}
	if oldest := f.idle.Front(); oldest != nil {
		entry := oldest.Value.(*connection)
		f.removeIdle(entry)
		_ = entry.Close()
	}
}

// Users marks the connections of those that handler serves as users'. While
// most of the connections are taken they are told to close.
func (f *Front) Users(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if entry, ok := r.Context().Value(connectionKey{}).(*connection); ok && f.markUser(entry) {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// markUser notes that a connection is a user's; true when it should be closed
// after the answer, since most of the connections are taken.
func (f *Front) markUser(entry *connection) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry.user = true
	return f.limit > 0 && len(f.open) > f.limit/8*busyEighths
}

// Open is how many connections there are.
func (f *Front) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}
