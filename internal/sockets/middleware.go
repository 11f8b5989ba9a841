package sockets

import (
	"net/http"
	"time"
)

// The shares of the limit, in sixteenths, above which connections are closed after
// each answer: first those of users, then those of workers too.
const (
	shareDenominator  = 16
	closeUsersAbove   = 14
	closeWorkersAbove = 15
)

// UserMiddleware returns a handler that serves users: it records that their connections
// are users', and tells them to close while most connections are taken.
func (l *ConnectionLimiter) UserMiddleware(handler http.Handler) http.Handler {
	return middleware(handler, l.recordUser)
}

// WorkerMiddleware returns a handler that serves workers: it records that their
// connections are workers', and tells them to close while nearly all connections are
// taken and for a while after there were too few.
func (l *ConnectionLimiter) WorkerMiddleware(handler http.Handler) http.Handler {
	return middleware(handler, l.recordWorker)
}

// middleware calls record with the connection of each request. When it returns true, the
// answer tells the client to close the connection.
func middleware(handler http.Handler, record func(*connection) (shouldClose bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if entry, ok := r.Context().Value(connectionKey{}).(*connection); ok && record(entry) {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// recordUser records that a connection is a user's and reports whether it should be closed
// after the answer.
func (l *ConnectionLimiter) recordUser(entry *connection) (shouldClose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.role = userRole
	return l.isAboveShare(closeUsersAbove)
}

// recordWorker records that a connection is a worker's and reports whether it should be
// closed after the answer.
func (l *ConnectionLimiter) recordWorker(entry *connection) (shouldClose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.role = workerRole
	if l.limit <= 0 {
		return false
	}
	return l.isAboveShare(closeWorkersAbove) || time.Now().Before(l.closeWorkersUntil)
}

// isAboveShare reports whether more than a share of the limit is taken.
func (l *ConnectionLimiter) isAboveShare(share int) bool {
	return l.limit > 0 && len(l.connections) > l.limit*share/shareDenominator
}
