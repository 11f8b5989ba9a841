package sockets

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Timeouts of a server, in addition to its idle timeout.
const (
	headerTimeout   = 10 * time.Second // for reading the header of a request
	transferTimeout = 15 * time.Second // for reading a request, and for writing its response
)

// closeWorkersDuration is how long workers are told to close their connections after a
// new connection exceeded the limit while no user connection was idle. There may then be
// far more workers than connections, so that open connections of some workers would
// prevent others from connecting. At other times workers may keep their connections,
// since a new connection for each heartbeat costs CPU time.
const closeWorkersDuration = time.Minute

// ConnectionLimiter limits the number of connections of workers and users. When most
// connections are in use, it tells clients to close theirs after a response. When a new
// connection exceeds the limit, it closes an idle one. It is safe for concurrent use.
type ConnectionLimiter struct {
	limit int // 0 means no limit

	mu          sync.Mutex
	connections map[net.Conn]*connection
	idleUsers   idleList
	idleWorkers idleList
	// closeWorkersUntil is the time until which workers are told to close their
	// connections.
	closeWorkersUntil time.Time
}

// connection is an open connection with the role of its client.
type connection struct {
	net.Conn
	role        role
	idleList    *idleList     // the idle list that contains the connection, or nil
	idleElement *list.Element // the connection's element in idleList
}

// role is the kind of client of a connection. It is unknown until a request has passed
// through one of the middlewares.
type role uint8

const (
	unknownRole role = iota
	userRole
	workerRole
)

// connectionKey is the context key for the connection of a request.
type connectionKey struct{}

// NewConnectionLimiter returns a limiter for the given number of connections; 0 means
// no limit.
func NewConnectionLimiter(limit int) *ConnectionLimiter {
	return &ConnectionLimiter{limit: limit, connections: map[net.Conn]*connection{}}
}

// NewServer returns a server whose connections count towards the limit. The server closes
// connections that are idle for idleTimeout. Otherwise the connection of a machine that
// lost power would stay open forever.
func (l *ConnectionLimiter) NewServer(handler http.Handler, idleTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       transferTimeout,
		WriteTimeout:      transferTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         l.connState,
		ConnContext:       l.connContext,
	}
}

// OpenConnections returns the number of open connections.
func (l *ConnectionLimiter) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// connContext is the server's ConnContext hook. It adds the connection to the context
// of its requests.
func (l *ConnectionLimiter) connContext(ctx context.Context, conn net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, l.ensureConnection(conn))
}

// ensureConnection returns the entry of a connection and creates it if it is missing.
func (l *ConnectionLimiter) ensureConnection(conn net.Conn) *connection {
	entry := l.connections[conn]
	if entry == nil {
		entry = &connection{Conn: conn}
		l.connections[conn] = entry
	}
	return entry
}

// connState is the server's ConnState hook. It tracks which connections are open and
// which of them are idle, and evicts an idle one if a new connection exceeds the limit.
func (l *ConnectionLimiter) connState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.ensureConnection(conn)
	entry.removeFromIdle()
	switch state {
	case http.StateNew:
		l.evictIdle()
	case http.StateIdle:
		l.addIdle(entry)
	case http.StateActive:
		// An active connection is in no idle list.
	case http.StateClosed, http.StateHijacked:
		delete(l.connections, conn)
	}
}

// addIdle adds an entry to the list of idle connections of its role. Connections of
// unknown role are in neither list and are never evicted.
func (l *ConnectionLimiter) addIdle(entry *connection) {
	switch entry.role {
	case userRole:
		l.idleUsers.add(entry)
	case workerRole:
		l.idleWorkers.add(entry)
	case unknownRole:
	}
}

// evictIdle closes an idle connection if the limit is exceeded. It evicts the user
// connection that has been idle the longest. If no user connection is idle, it evicts the
// worker connection that has been idle the shortest, as the next heartbeat on it is due
// last, and sets closeWorkersUntil. The evicted connection leaves its idle list at once,
// since connState runs only later and the next new connection must evict another one.
func (l *ConnectionLimiter) evictIdle() {
	if l.limit <= 0 || len(l.connections) <= l.limit {
		return
	}
	evicted := l.idleUsers.longestIdle()
	if evicted == nil {
		evicted = l.idleWorkers.shortestIdle()
		l.closeWorkersUntil = time.Now().Add(closeWorkersDuration)
	}
	if evicted == nil {
		return
	}
	evicted.removeFromIdle()
	_ = evicted.Close() // the connection is idle, so a failed close loses no response
}
