package state

// BeginRelease records that the machine is to be released to the cloud. Normally, this has
// to be stored before the cloud is called, so that no other shard acquires the machine in
// the meantime.
func (m *Machine) BeginRelease() { m.Releasing = true }

// ConfirmRelease records that the cloud may be called to release the machine. It is called
// once the release is stored, or earlier if no other shard can acquire the machine.
func (m *Machine) ConfirmRelease() { m.ReleaseConfirmed = true }

// AwaitsScaleInCall reports whether the cloud has to be called to terminate the machine
// and no such call is in flight.
func (m *Machine) AwaitsScaleInCall() bool {
	return m.ReleaseConfirmed && !m.ScaleInCallInFlight && !m.Terminated
}
