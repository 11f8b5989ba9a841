package sockets

import "container/list"

// idleList holds idle connections, the longest idle first. The zero value is empty.
type idleList struct{ connections list.List }

// add appends a connection that has just become idle.
func (l *idleList) add(c *connection) {
	c.idleIn = l
	c.idleElement = l.connections.PushBack(c)
}

// longestIdle returns the connection that has been idle the longest; nil if there is
// none.
func (l *idleList) longestIdle() *connection { return connectionOf(l.connections.Front()) }

// shortestIdle returns the connection that became idle last; nil if there is none.
func (l *idleList) shortestIdle() *connection { return connectionOf(l.connections.Back()) }

// connectionOf returns the connection of a list's element; nil for no element.
func connectionOf(element *list.Element) *connection {
	if element == nil {
		return nil
	}
	c, _ := element.Value.(*connection)
	return c
}

// isIdle reports whether the connection is in a list of idle ones.
func (c *connection) isIdle() bool { return c.idleIn != nil }

// removeFromIdle removes the connection from its list of idle ones, if it is in one.
func (c *connection) removeFromIdle() {
	if c.idleIn == nil {
		return
	}
	c.idleIn.connections.Remove(c.idleElement)
	c.idleIn, c.idleElement = nil, nil
}
