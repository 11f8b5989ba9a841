package simulation

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
)

// Node is a controller's node with the process that runs on it, if any.
type Node struct {
	ID cluster.NodeID
	// Version is the version of the node's present process, or of its next one.
	Version Version

	// Faults of the node; each lasts until a time.
	StorePartitionedUntil   cluster.Time // partitioned from the state service
	WorkersPartitionedUntil cluster.Time // partitioned from the workers
	PeersPartitionedUntil   cluster.Time // partitioned from the other controllers
	StoreRefusesUntil       cluster.Time // the state service answers it with 503
	PeersRefuseUntil        cluster.Time // its connections with the other controllers are refused
	StoreRepliesLostUntil   cluster.Time // its transactions are applied, but the replies are lost
	PausedUntil             cluster.Time // its process is paused while its clocks run on

	set             *nodeSet
	controller      *controller.Controller
	running         bool
	generation      int // raised whenever the process ends, so that replies to it are dropped
	startedAt       cluster.Time
	pendingRequests map[messages.RequestID]func(messages.Respond)
	lastRequestID   messages.RequestID
	nextWakeAt      cluster.Time
}

// Start starts a controller's process unless one is running.
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

// Kill ends the process without a signal; whoever waits for its answer gets
// status 0.
func (n *Node) Kill() {
	n.set.lastKillAt = n.set.Now
	n.running = false
	n.generation++
	for _, id := range slices.Sorted(maps.Keys(n.pendingRequests)) {
		n.pendingRequests[id](messages.Respond{Status: messages.ReplyNone})
	}
	n.pendingRequests = nil
}

// SendRequest sends a request to the controller; handle gets status 0 when no
// process is running.
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

// respond passes the controller's answer on to whoever sent the request.
func (n *Node) respond(answer messages.Respond) {
	handle := n.pendingRequests[answer.Request]
	if handle == nil {
		return
	}
	delete(n.pendingRequests, answer.Request)
	n.set.After(n.set.network.delay(), func() { handle(answer) })
}

// step gives the controller an event and executes the effects that it asks for.
// While the process is paused events wait, and are all handled at its end.
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
		return n.controller.Step(now-n.startedAt, cluster.WallTime(now/millisecond), filterEvent(n.Version, event))
	})
	for _, effect := range effects {
		n.set.observe(now, n.ID, effect)
		n.set.execute(n, filterEffect(n.Version, effect))
	}
	n.scheduleWake()
}

// scheduleWake has the controller step when it next wants to be woken, unless
// an earlier wake is scheduled.
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

// isGeneration tells whether the process of a generation is still running.
func (n *Node) isGeneration(generation int) bool {
	return n.running && n.generation == generation
}

// newCall is a call that the node's present process has made.
func (n *Node) newCall(id messages.CallID) pendingCall {
	return pendingCall{node: n, generation: n.generation, id: id}
}

// pendingCall is a call that a process has made and whose reply it awaits.
type pendingCall struct {
	node       *Node
	generation int
	id         messages.CallID
}

// replyAfter delivers the reply after a delay; a later process of the node never
// gets it.
func (c pendingCall) replyAfter(delay cluster.Time, body messages.ReplyBody) {
	c.node.set.After(delay, func() { c.reply(body) })
}

// reply delivers the reply at once.
func (c pendingCall) reply(body messages.ReplyBody) {
	if c.isAwaited() {
		c.node.step(messages.Reply{Call: c.id, Body: body})
	}
}

// isAwaited tells whether the process that made the call is still running.
func (c pendingCall) isAwaited() bool { return c.node.isGeneration(c.generation) }
