package sockets

import (
	"net/http"
	"time"
)

// Shares of the limit, in sixteenths, above which clients are told to close their
// connections after each response: users first, and then workers as well.
const (
	shareDenominator = 16
	userCloseShare   = 14
	workerCloseShare = 15
)

// UserMiddleware wraps a handler of user requests. It marks the connections of the
// requests as users' and tells the clients to close them while most connections are in
// use.
func (l *ConnectionLimiter) UserMiddleware(handler http.Handler) http.Handler {
	return middleware(handler, l.recordUser)
}

// WorkerMiddleware wraps a handler of worker requests. It marks the connections of the
// requests as workers' and tells the workers to close them while nearly all connections
// are in use, and for closeWorkersDuration after a new connection exceeded the limit
// while no user connection was idle.
func (l *ConnectionLimiter) WorkerMiddleware(handler http.Handler) http.Handler {
	return middleware(handler, l.recordWorker)
}

// middleware wraps a handler and calls record with the connection of each request. If
// record returns true, the response tells the client to close the connection.
func middleware(handler http.Handler, record func(*connection) (shouldClose bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if entry, ok := r.Context().Value(connectionKey{}).(*connection); ok && record(entry) {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// recordUser marks a connection as a user's and reports whether the client should close
// it after the response.
func (l *ConnectionLimiter) recordUser(entry *connection) (shouldClose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.role = userRole
	return l.isAboveShare(userCloseShare)
}

// recordWorker marks a connection as a worker's and reports whether the client should
// close it after the response.
func (l *ConnectionLimiter) recordWorker(entry *connection) (shouldClose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.role = workerRole
	if l.limit <= 0 {
		return false
	}
	return l.isAboveShare(workerCloseShare) || time.Now().Before(l.closeWorkersUntil)
}

// isAboveShare reports whether more than share sixteenths of the limit are in use. It
// is false if there is no limit.
func (l *ConnectionLimiter) isAboveShare(share int) bool {
	return l.limit > 0 && len(l.connections) > l.limit*share/shareDenominator
}
