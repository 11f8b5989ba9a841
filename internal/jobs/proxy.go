package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
)

const (
	// proxyTimeout is the timeout of a submission that is forwarded to another
	// controller.
	proxyTimeout = 2500 * millisecond
	// maxProxyPingAge is the maximum age of the ping that shows that a peer can reach the
	// store.
	maxProxyPingAge = 2 * second
)

// submissionProxy forwards submissions to another controller when the store does not
// respond to this one or the machine types are not known yet. Otherwise a user's retries
// would fail until the load balancer removes this controller. If both controllers store
// the submission, the later one is answered as an idempotent retry.
type submissionProxy struct {
	*shared
}

// forward forwards a submission to the next controller that can store it, and passes that
// controller's response to respond. It returns false if there is no such controller.
func (p *submissionProxy) forward(spec cluster.JobSpec, respond func(messages.Respond)) bool {
	nodes := p.config.Nodes
	self := slices.Index(nodes, p.config.Self)
	for i := 1; i < len(nodes); i++ {
		peer := p.Members.Peer(nodes[(self+i)%len(nodes)])
		if peer == nil || !canStore(peer, &spec) {
			continue
		}
		message := messages.PeerMessage{Submission: &messages.ProxiedSubmission{ID: spec.ID, Spec: spec}}
		p.Members.Call(peer.ID(), proxyTimeout, message, func(reply messages.PeerReply) { p.handleReply(&spec, reply, respond) })
		return true
	}
	return false
}

// canStore reports whether a peer can store a submission, according to its last ping. If
// the job has dependencies, a peer whose release does not support them is excluded,
// because it would start the job immediately.
func canStore(peer *membership.Peer, spec *cluster.JobSpec) bool {
	if peer.IsUnreachable() || peer.IsSuspected() || !peer.HasAnswered() {
		return false
	}
	if peer.PingAge() > maxProxyPingAge || !peer.LastPing().StoreReachable {
		return false
	}
	return len(spec.Dependencies) == 0 || peer.LastPing().FeatureLevel >= DependencyFeatureLevel
}

// handleReply answers a submission with the reply of the controller to which it was
// forwarded, and registers the job if that controller has accepted it.
func (p *submissionProxy) handleReply(spec *cluster.JobSpec, reply messages.PeerReply, respond func(messages.Respond)) {
	switch {
	case reply.Outcome != messages.OK:
		respond(messages.Respond{Status: messages.StatusUnavailable, RetryAfter: shortRetryAfterSeconds, Error: "store out of reach"})
	case len(reply.Message.Views) == 1:
		if team := p.state.Teams[spec.Team]; team != nil {
			p.state.Jobs.Register(spec.ID, team.ShardID, spec.Team, spec.Tasks)
		}
		respond(messages.Respond{Status: reply.Message.Status, View: &reply.Message.Views[0]})
	default:
		respond(messages.Respond{Status: reply.Message.Status, RetryAfter: reply.Message.RetryAfter, Error: reply.Message.Reason})
	}
}
