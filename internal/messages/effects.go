package messages

// Effect is an operation that the controller's state machine requests: a call to another
// process, a response to a request, or a log line. The engine executes it or passes it to
// the client that does.
type Effect interface{ isEffect() }

func (StoreTxn) isEffect()              {}
func (StoreGet) isEffect()              {}
func (StoreList) isEffect()             {}
func (StoreWatch) isEffect()            {}
func (CloudListMachineTypes) isEffect() {}
func (CloudScaleOut) isEffect()         {}
func (CloudScaleIn) isEffect()          {}
func (CloudListMachines) isEffect()     {}
func (PushCommands) isEffect()          {}
func (QueryWorkerStatus) isEffect()     {}
func (PeerCall) isEffect()              {}
func (Respond) isEffect()               {}
func (Log) isEffect()                   {}
