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

// The shares, in sixteenths of the limit, above which connections are closed
// after each answer: first users', then workers' too.
const (
	shareDenominator  = 16
	closeUsersAbove   = 14
	closeWorkersAbove = 15
)

// closeWorkersDuration is how long workers go on being told to close after a new connection
// found no room but a worker's. With so many more workers than connections each
// has one for the length of a report; kept again as soon as there is room, they
// would fill it up within a report's interval. Short of that only those above
// the share are closed: a connection for each report costs processor time.
const closeWorkersDuration = time.Minute

// ConnectionLimiter counts the connections of workers and users, and has them closed when
// there are too many: after an answer, or idle ones to make room for a new one.
type ConnectionLimiter struct {
	limit       int // 0: none
	mu          sync.Mutex
	connections map[net.Conn]*connection
	// The idle connections, the longest idle first.
	idleUsers, idleWorkers *list.List
	// closeWorkersUntil is when workers may keep their connections again.
	closeWorkersUntil time.Time
}

type connection struct {
	net.Conn
	role        role
	idleElement *list.Element // in one of the lists of idle ones; nil: not there
}

// role says whose connection it is, as far as its requests have shown.
type role uint8

const (
	unknownRole role = iota
	userRole
	workerRole
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// NewConnectionLimiter makes a Front for at most so many connections; 0: no limit.
func NewConnectionLimiter(limit int) *ConnectionLimiter {
	return &ConnectionLimiter{
		limit:       limit,
		connections: map[net.Conn]*connection{},
		idleUsers:   list.New(),
		idleWorkers: list.New(),
	}
}

// NewServer makes a server whose connections are counted. A connection that says
// nothing for idleTimeout is closed: that of a machine without power never ends
// by itself.
func (f *ConnectionLimiter) NewServer(handler http.Handler, idleTimeout time.Duration) *http.Server {
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
func (f *ConnectionLimiter) connContext(ctx context.Context, conn net.Conn) context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, f.ensureConnection(conn))
}

// ensureConnection is a connection's entry, made if need be.
func (f *ConnectionLimiter) ensureConnection(conn net.Conn) *connection {
	entry := f.connections[conn]
	if entry == nil {
		entry = &connection{Conn: conn}
		f.connections[conn] = entry
	}
	return entry
}

// connState follows a connection's states.
func (f *ConnectionLimiter) connState(conn net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := f.ensureConnection(conn)
	f.removeIdle(entry)
	switch state {
	case http.StateNew:
		f.evictIdle()
	case http.StateIdle:
		if idle := f.idleList(entry); idle != nil {
			entry.idleElement = idle.PushBack(entry)
		}
	case http.StateClosed, http.StateHijacked:
		delete(f.connections, conn)
	}
}

// idleList is the list of idle connections of an entry's role; nil: none is kept.
func (f *ConnectionLimiter) idleList(entry *connection) *list.List {
	switch entry.role {
	case userRole:
		return f.idleUsers
	case workerRole:
		return f.idleWorkers
	default:
		return nil
	}
}

func (f *ConnectionLimiter) removeIdle(entry *connection) {
	if entry.idleElement != nil {
		f.idleList(entry).Remove(entry.idleElement)
		entry.idleElement = nil
	}
}

// evictIdle closes an idle connection if there are too many: the user's that has
// been idle the longest, else the worker's that has been idle the shortest, whose
// next report is farthest off. The server reports the close by connState; until
// then the next new connection must not count on the same one, so it leaves the
// list here.
func (f *ConnectionLimiter) evictIdle() {
	if f.limit <= 0 || len(f.connections) <= f.limit {
		return
	}
	idle := f.idleUsers.Front()
	if idle == nil {
		idle = f.idleWorkers.Back()
		f.closeWorkersUntil = time.Now().Add(closeWorkersDuration)
	}
	if idle == nil {
		return
	}
	entry := idle.Value.(*connection)
	f.removeIdle(entry)
	_ = entry.Close()
}

// UserMiddleware marks the connections of those that handler serves as users'. While
// most of the connections are taken they are told to close.
func (f *ConnectionLimiter) UserMiddleware(handler http.Handler) http.Handler {
	return f.middleware(handler, f.markUser)
}

// WorkerMiddleware marks the connections of those that handler serves as workers'. While
// nearly all connections are taken, and for a while after there were too few, they are told to close.
func (f *ConnectionLimiter) WorkerMiddleware(handler http.Handler) http.Handler {
	return f.middleware(handler, f.markWorker)
}

// middleware passes on the requests that handler serves, whose connections mark says
// to close or not.
func (f *ConnectionLimiter) middleware(handler http.Handler, mark func(*connection) (closes bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if entry, ok := r.Context().Value(connectionKey{}).(*connection); ok && mark(entry) {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// markUser notes that a connection is a user's; true when it should be closed
// after the answer.
func (f *ConnectionLimiter) markUser(entry *connection) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry.role = userRole
	return f.isAboveShare(closeUsersAbove)
}

// markWorker does the same for a worker's.
func (f *ConnectionLimiter) markWorker(entry *connection) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry.role = workerRole
	if f.limit <= 0 {
		return false
	}
	return f.isAboveShare(closeWorkersAbove) || time.Now().Before(f.closeWorkersUntil)
}

// isAboveShare tells whether more than a share of the connections is taken.
func (f *ConnectionLimiter) isAboveShare(share int) bool {
	return f.limit > 0 && len(f.connections) > f.limit*share/shareDenominator
}

// OpenConnections is how many connections there are.
func (f *ConnectionLimiter) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections)
}
