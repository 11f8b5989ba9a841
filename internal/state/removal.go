package state

// BeginRelease records that the machine is to be given back to the cloud. Its record
// has to say so before the cloud is called: otherwise another shard might take the
// machine meanwhile.
func (m *Machine) BeginRelease() { m.Releasing = true }

// ConfirmRelease records that the cloud may be called to take the machine back.
func (m *Machine) ConfirmRelease() { m.ReleaseConfirmed = true }

// AwaitsScaleInCall tells whether the cloud is to be called to take the machine back,
// and is not being called already.
func (m *Machine) AwaitsScaleInCall() bool {
	return m.ReleaseConfirmed && !m.ScaleInCallInFlight && !m.Terminated
}
