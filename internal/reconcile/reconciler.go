// Package reconcile keeps the workers in line with the stored records of their
// machines.
package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	second      = cluster.Second
	millisecond = cluster.Millisecond
)

// Config is what the reconciler knows from the start.
type Config struct {
	// Self is this controller's node.
	Self cluster.NodeID
	// CloudListLag is how far the cloud's machine list may be behind.
	CloudListLag cluster.Time
}

// Dependencies are the other parts of the controller that the reconciler uses.
type Dependencies struct {
	Directory MachineDirectory
	Registrar MachineRegistrar
	// HandleHeartbeat handles a heartbeat whose machine is known by now.
	HandleHeartbeat func(messages.Heartbeat)
	// MaintainMachines looks after all owned machines.
	MaintainMachines func()
}

// Reconciler compares the workers with the records.
type Reconciler struct {
	Orphans *Orphans

	shared *shared
}

// shared is what all parts of the reconciler use.
type shared struct {
	loop   *eventloop.Loop
	state  *state.State
	queue  *writequeue.Queue
	config Config
	deps   Dependencies
}

// New makes a reconciler. It sets no timers of its own: its periodic methods are
// to be called by the owner of the loop.
func New(loop *eventloop.Loop, st *state.State, queue *writequeue.Queue, config Config, deps Dependencies) *Reconciler {
	s := &shared{loop: loop, state: st, queue: queue, config: config, deps: deps}
	return &Reconciler{shared: s, Orphans: newOrphans(s)}
}

// Configure takes over other settings.
func (r *Reconciler) Configure(config Config) { r.shared.config = config }

// redirect sends a worker to another controller; empty: to any other.
func (s *shared) redirect(request messages.RequestID, to cluster.NodeID) {
	if to == s.config.Self {
		to = ""
	}
	response := &messages.HeartbeatResponse{RedirectTo: to}
	s.loop.Emit(messages.Respond{Request: request, Status: messages.ReplyMisdirected, Heartbeat: response})
}

// respondUnavailable tells a worker to ask again later.
func (s *shared) respondUnavailable(request messages.RequestID) {
	s.loop.Emit(messages.Respond{Request: request, Status: messages.ReplyUnavailable})
}
