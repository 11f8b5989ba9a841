package messages

// Effect is anything that a controller wants done. The engine hands each effect
// to the actor that carries it out.
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
