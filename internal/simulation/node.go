package simulation

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
)

// Node is a node with the controller process that runs on it, if any.
type Node struct {
	ID cluster.NodeID
	// Version is the program version of the running process or, if none is running,
	// of the next one.
	Version Version

	// Faults of the node, each with the time at which it ends.
	StorePartitionedUntil   cluster.Time // partitioned from the store
	WorkersPartitionedUntil cluster.Time // partitioned from the workers
	PeersPartitionedUntil   cluster.Time // partitioned from the other controllers
	StoreUnavailableUntil   cluster.Time // the store responds with 503
	PeersRefuseUntil        cluster.Time // connections between this and other controllers are refused in both directions
	StoreRepliesLostUntil   cluster.Time // transactions are applied, but the replies are lost
	PausedUntil             cluster.Time // the process is paused while its clocks continue

	set             *nodeSet
	controller      *controller.Controller
	running         bool
	generation      int // incremented when the process is killed, so that pending replies are dropped
	startedAt       cluster.Time
	pendingRequests map[messages.RequestID]func(messages.Respond)
	lastRequestID   messages.RequestID
	nextWakeAt      cluster.Time
}

// Start starts a controller process, unless one is running.
func (n *Node) Start() {
	if n.running {
		return
	}
	cfg := n.set.configOf(n)
	cfg.Self = n.ID
	cfg.InstanceID = n.set.newInstanceID()
	n.controller = controller.New(cfg)
	n.running = true
	n.startedAt = n.set.Now
	n.pendingRequests = map[messages.RequestID]func(messages.Respond){}
	n.nextWakeAt = 0
	n.step(messages.Tick{})
}

// Kill ends the process immediately, without a shutdown. Pending requests get a response
// with the status StatusNone.
func (n *Node) Kill() {
	n.set.lastKillAt = n.set.Now
	n.running = false
	n.generation++
	for _, id := range slices.Sorted(maps.Keys(n.pendingRequests)) {
		n.pendingRequests[id](messages.Respond{Status: messages.StatusNone})
	}
	n.pendingRequests = nil
}

// SendRequest sends a request to the controller and calls handle with the response. The
// response has the status StatusNone if no process is running or the process is killed
// before it responds.
func (n *Node) SendRequest(request func(messages.RequestID) messages.Event, handle func(messages.Respond)) {
	n.set.After(n.set.RandomBetween(millisecond, 5*millisecond), func() {
		if !n.running {
			handle(messages.Respond{})
			return
		}
		n.lastRequestID++
		id := n.lastRequestID
		n.pendingRequests[id] = handle
		n.step(request(id))
	})
}

// respond delivers the controller's response to the sender of the request.
func (n *Node) respond(response messages.Respond) {
	handle := n.pendingRequests[response.Request]
	if handle == nil {
		return
	}
	delete(n.pendingRequests, response.Request)
	n.set.After(n.set.network.delay(), func() { handle(response) })
}

// step passes an event to the controller and executes the resulting effects. An event
// that arrives while the process is paused is handled when the pause ends, unless the
// process has been killed by then.
func (n *Node) step(event messages.Event) {
	if n.set.Now < n.PausedUntil {
		generation := n.generation
		n.set.After(n.PausedUntil-n.set.Now, func() {
			if n.isGeneration(generation) {
				n.step(event)
			}
		})
		return
	}
	now := n.set.Now
	effects := n.set.measure(func() []messages.Effect {
		return n.controller.Step(now-n.startedAt, cluster.WallTime(now/millisecond), n.set.unknownFields.addTo(filterEvent(n.Version, event)))
	})
	for _, effect := range effects {
		n.set.observe(now, n.ID, effect)
		n.set.execute(n, filterEffect(n.Version, effect))
	}
	n.scheduleWake()
}

// scheduleWake schedules a tick for the controller's next wake time, unless an
// earlier one is scheduled.
func (n *Node) scheduleWake() {
	wakeAt, wanted := n.controller.NextWake()
	if !wanted {
		return
	}
	now := n.set.Now
	wakeAt += n.startedAt
	if n.nextWakeAt > now && wakeAt >= n.nextWakeAt {
		return
	}
	n.nextWakeAt = max(wakeAt, now)
	generation, scheduled := n.generation, n.nextWakeAt
	n.set.After(wakeAt-now+n.set.RandomBetween(0, millisecond), func() {
		if n.isGeneration(generation) && n.nextWakeAt == scheduled {
			n.nextWakeAt = 0
			n.step(messages.Tick{})
		}
	})
}

// isGeneration reports whether the process of the given generation is still running.
func (n *Node) isGeneration(generation int) bool {
	return n.running && n.generation == generation
}

// newCall returns a call made by the node's current process.
func (n *Node) newCall(id messages.CallID) pendingCall {
	return pendingCall{node: n, generation: n.generation, id: id}
}

// pendingCall is a call by a controller process that has no reply yet.
type pendingCall struct {
	node       *Node
	generation int
	id         messages.CallID
}

// replyAfter delivers the reply after a delay. The reply is dropped if the process
// that made the call has ended by then.
func (c pendingCall) replyAfter(delay cluster.Time, body messages.ReplyBody) {
	c.node.set.After(delay, func() { c.reply(body) })
}

// reply delivers the reply immediately.
func (c pendingCall) reply(body messages.ReplyBody) {
	if c.isAwaited() {
		c.node.step(messages.Reply{Call: c.id, Body: body})
	}
}

// isAwaited reports whether the process that made the call is still running.
func (c pendingCall) isAwaited() bool { return c.node.isGeneration(c.generation) }
