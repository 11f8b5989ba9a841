package state

import "stairrelay/internal/cluster"

// TokenState is the state of a machine's fencing token. The worker rejects commands with a
// lower token than the highest one that it has seen.
//
// Until the worker has seen RequiredToken, it still executes commands of an earlier owner, so
// only stops are sent to it. Token may be higher: AdvanceToken makes the worker reject late
// copies of this controller's own pushes, for which nothing has to wait.
type TokenState struct {
	Token                        cluster.FencingToken // sent with all commands
	RequiredToken                cluster.FencingToken // lowest token that rejects the commands of earlier owners and pushed starts in doubt
	PushedStartToken             cluster.FencingToken // highest token under which a start was pushed; 0 if none was
	TokenAcknowledged            bool                 // the worker has seen RequiredToken, and no token higher than Token
	UnacknowledgedSince          cluster.Time         // when RequiredToken was set or the worker ceased to acknowledge it; meaningless while TokenAcknowledged is set
	AwaitingFirstAcknowledgement bool                 // the machine was acquired with its shard, and its worker has not acknowledged RequiredToken since
	InitialToken                 cluster.FencingToken // initial token of a machine that this controller added to the records under the current claim; 0 for other machines
	FencedOff                    bool                 // the worker has seen a higher token
	RaisingToken                 bool                 // a higher token is to be stored
}

// BeginTokenRaise records that a higher token is to be stored with the machine's record.
// It returns false if this is recorded already, or if the machine is being released and
// needs no new token.
func (m *Machine) BeginTokenRaise() bool {
	if m.RaisingToken || m.Releasing {
		return false
	}
	m.RaisingToken = true
	return true
}

// MarkTokenRaised records that a higher token is stored. Until the worker has acknowledged
// it, only stops are sent.
func (m *Machine) MarkTokenRaised(token cluster.FencingToken, now cluster.Time) {
	m.RaisingToken = false
	m.Token, m.RequiredToken = token, token
	m.TokenAcknowledged, m.UnacknowledgedSince = false, now
}

// AdvanceToken raises the token to the revision at which the record of the machine's group
// was last stored. It returns false if the token is not lower than that.
//
// It needs no write. The record was stored under this owner's claim, so the revision is lower
// than that of any later claim or transfer, from which the next owner's token is taken.
func (m *Machine) AdvanceToken() bool {
	stored := cluster.FencingToken(m.Group.ModRevision)
	if stored <= m.Token {
		return false
	}
	m.Token = stored
	return true
}

// IsTokenAcknowledgedBy reports whether a worker that has seen the given token rejects the
// commands of earlier owners and accepts those of this one.
func (m *Machine) IsTokenAcknowledgedBy(seen cluster.FencingToken) bool {
	return seen >= m.RequiredToken && seen <= m.Token
}

// RejectsPushedStarts reports whether a worker that has seen the given token rejects late
// copies of all starts that were pushed to it.
func (m *Machine) RejectsPushedStarts(seen cluster.FencingToken) bool {
	return seen > m.PushedStartToken
}
