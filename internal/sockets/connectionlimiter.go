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
	headerTimeout   = 10 * time.Second // to read the header of a request
	transferTimeout = 15 * time.Second // to read a request, and to write the answer
)

// closeWorkersDuration is how long workers are told to close their connections after
// only an idle worker's could be closed for a new one. With so many more workers than
// connections, each has a connection for the length of a heartbeat. If they kept them
// as soon as there was room, the connections would be used up again within a heartbeat
// interval. Without such a shortage only those above the share are closed, as a new
// connection for each heartbeat costs processor time.
const closeWorkersDuration = time.Minute

// ConnectionLimiter keeps the connections of workers and users within a limit. It closes
// them after an answer when most are taken, and idle ones to make room for a new one. It
// is safe for concurrent use.
type ConnectionLimiter struct {
	limit int // 0: none

	mu          sync.Mutex
	connections map[net.Conn]*connection
	idleUsers   idleList
	idleWorkers idleList
	// closeWorkersUntil is when workers may keep their connections again.
	closeWorkersUntil time.Time
}

// connection is an open connection.
type connection struct {
	net.Conn
	role        role
	idleIn      *idleList     // nil: it is not in a list of idle connections
	idleElement *list.Element // its element in that list
}

// role says whose connection it is, as far as its requests have shown.
type role uint8

const (
	unknownRole role = iota
	userRole
	workerRole
)

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// NewConnectionLimiter returns a limiter for a number of connections; 0 means no limit.
func NewConnectionLimiter(limit int) *ConnectionLimiter {
	return &ConnectionLimiter{limit: limit, connections: map[net.Conn]*connection{}}
}

// NewServer returns a server whose connections count against the limit. It closes a
// connection without a request for idleTimeout: the connection of a machine without
// power would otherwise stay open for ever.
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

// connContext is the server's ConnContext hook: it adds a connection to the context of
// its requests.
func (l *ConnectionLimiter) connContext(ctx context.Context, conn net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return context.WithValue(ctx, connectionKey{}, l.ensureConnection(conn))
}

// ensureConnection returns the entry of a connection, which it adds if it is missing.
func (l *ConnectionLimiter) ensureConnection(conn net.Conn) *connection {
	entry := l.connections[conn]
	if entry == nil {
		entry = &connection{Conn: conn}
		l.connections[conn] = entry
	}
	return entry
}

// connState is the server's ConnState hook: it keeps the counts up to date.
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
		// A connection in use is in no list of idle ones.
	case http.StateClosed, http.StateHijacked:
		delete(l.connections, conn)
	}
}

// addIdle adds an entry to the list of idle connections of its role. A connection of
// unknown role, such as that of a health check, is in none and is never evicted.
func (l *ConnectionLimiter) addIdle(entry *connection) {
	switch entry.role {
	case userRole:
		l.idleUsers.add(entry)
	case workerRole:
		l.idleWorkers.add(entry)
	case unknownRole:
	}
}

// evictIdle closes an idle connection if there are too many connections: the user's
// that has been idle the longest, else the worker's that has been idle the shortest, as
// its next heartbeat is farthest away. The server reports the close later, by
// connState. Until then the next new connection must not count on the same one, so it
// leaves its list here.
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
	_ = evicted.Close() // nothing depends on how a connection ends that is not used
}
