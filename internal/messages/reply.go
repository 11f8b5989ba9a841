package messages

// ReplyBody is what an outgoing call is answered with: one type for each kind of
// call.
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
