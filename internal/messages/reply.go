package messages

// ReplyBody is the body of the reply to an outgoing call. Its type depends on the kind of
// the call.
type ReplyBody interface{ isReplyBody() }

func (TxnReply) isReplyBody()              {}
func (GetReply) isReplyBody()              {}
func (ListReply) isReplyBody()             {}
func (WatchReply) isReplyBody()            {}
func (ListMachineTypesReply) isReplyBody() {}
func (ScaleOutReply) isReplyBody()         {}
func (ScaleInReply) isReplyBody()          {}
func (ListMachinesReply) isReplyBody()     {}
func (WorkerReply) isReplyBody()           {}
func (PeerReply) isReplyBody()             {}
