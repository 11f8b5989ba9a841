package state

// BeginRelease records that the machine is to be released to the cloud. That has to be
// stored before the cloud is called; otherwise another shard might acquire the machine in
// the meantime.
func (m *Machine) BeginRelease() { m.Releasing = true }

// ConfirmRelease records that the release is stored, so that the cloud may be called.
func (m *Machine) ConfirmRelease() { m.ReleaseConfirmed = true }

// AwaitsScaleInCall reports whether the cloud has to be called to terminate the machine
// and no such call is in flight.
func (m *Machine) AwaitsScaleInCall() bool {
	return m.ReleaseConfirmed && !m.ScaleInCallInFlight && !m.Terminated
}
