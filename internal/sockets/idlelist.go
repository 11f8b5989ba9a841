package sockets

import "container/list"

// idleList is a list of idle connections, ordered from the longest to the shortest
// idle. The zero value is an empty list.
type idleList struct{ connections list.List }

// add appends a connection that has just become idle.
func (l *idleList) add(c *connection) {
	c.idleList = l
	c.idleElement = l.connections.PushBack(c)
}

// longestIdle returns the connection that has been idle the longest, or nil if the list
// is empty.
func (l *idleList) longestIdle() *connection { return connectionOf(l.connections.Front()) }

// shortestIdle returns the connection that became idle last, or nil if the list is
// empty.
func (l *idleList) shortestIdle() *connection { return connectionOf(l.connections.Back()) }

// connectionOf returns the connection in a list element, or nil if element is nil.
func connectionOf(element *list.Element) *connection {
	if element == nil {
		return nil
	}
	c, _ := element.Value.(*connection)
	return c
}

// isIdle reports whether the connection is in an idle list.
func (c *connection) isIdle() bool { return c.idleList != nil }

// removeFromIdle removes the connection from its idle list, if it is in one.
func (c *connection) removeFromIdle() {
	if c.idleList == nil {
		return
	}
	c.idleList.connections.Remove(c.idleElement)
	c.idleList, c.idleElement = nil, nil
}
