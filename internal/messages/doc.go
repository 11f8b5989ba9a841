// Package messages defines the messages between the controller's state machine and the
// clients and servers that perform its I/O: the events that the state machine processes,
// the effects that it requests, and the typed replies to those effects. It also defines
// the messages that controllers exchange. It imports neither the state machine nor these
// clients and servers, so that all of them can import it.
package messages
