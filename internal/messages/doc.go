// Package messages holds the messages that pass between the controller's state
// machine and its I/O actors: the events that happen to a controller, the
// effects that it wants carried out, and the typed replies to those effects. It
// also holds the messages that controllers send to each other. It imports
// neither the state machine nor any actor, so that both can import it.
package messages
