package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
)

const (
	// proxyTimeout is how long another controller may take to store a submission.
	proxyTimeout = 2500 * millisecond
	// proxyPingFreshness is how old a peer's last ping may be that says that it
	// reaches the state service.
	proxyPingFreshness = 2 * second
)

// submissionProxy passes submissions to another controller, where this one has lost
// the state service or does not know the machine types yet: any of them may store a
// submission, and its user would else come back to this one until the load balancer
// has noticed. A submission that was stored twice finds its job known.
type submissionProxy struct {
	*shared
}

// pass passes a submission to the next controller that can store it, and answers as
// that one says; false: no other controller can.
func (p *submissionProxy) pass(spec cluster.JobSpec, answer func(messages.Respond)) bool {
	nodes := p.config.Nodes
	self := slices.Index(nodes, p.config.Self)
	for i := 1; i < len(nodes); i++ {
		peer := p.Members.Peer(nodes[(self+i)%len(nodes)])
		if peer == nil || !canStore(peer, &spec) {
			continue
		}
		message := messages.PeerMessage{Submission: &messages.ProxiedSubmission{ID: spec.ID, Spec: spec}}
		p.Members.Call(peer.ID(), proxyTimeout, message, func(reply messages.PeerReply) { p.answer(&spec, reply, answer) })
		return true
	}
	return false
}

// canStore tells whether a peer can store a submission, as far as it has said. A
// release without dependencies would start a job that has any at once.
func canStore(peer *membership.Peer, spec *cluster.JobSpec) bool {
	if peer.IsUnreachable() || peer.IsSuspected() || !peer.HasAnswered() {
		return false
	}
	if peer.PingAge() > proxyPingFreshness || !peer.LastPing().StoreReachable {
		return false
	}
	return len(spec.Dependencies) == 0 || peer.LastPing().FeatureLevel >= DependencyFeatureLevel
}

// answer answers a submission as the controller says that it went to.
func (p *submissionProxy) answer(spec *cluster.JobSpec, reply messages.PeerReply, answer func(messages.Respond)) {
	switch {
	case reply.Outcome != messages.OK:
		answer(messages.Respond{Status: messages.ReplyUnavailable, RetryAfter: shortRetryAfterSeconds, Error: "store out of reach"})
	case len(reply.Message.Views) == 1:
		if team := p.state.Teams[spec.Team]; team != nil {
			p.state.Jobs.Register(spec.ID, team.ShardID, spec.Team, spec.Tasks)
		}
		answer(messages.Respond{Status: reply.Message.Status, View: &reply.Message.Views[0]})
	default:
		answer(messages.Respond{Status: reply.Message.Status, RetryAfter: reply.Message.RetryAfter, Error: reply.Message.Reason})
	}
}
