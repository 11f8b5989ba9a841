package simulation

// FaultKind is a kind of fault, or of a situation that is hard to handle. Tests
// check that each kind came up, since a rule that holds without its fault shows
// nothing.
type FaultKind string

// The kinds that the simulation counts when they have taken effect.
const (
	FaultLateWrite                          FaultKind = "writes delivered late"
	FaultLateWriteApplied                   FaultKind = "writes applied late"
	FaultReplyLost                          FaultKind = "writes applied, their replies lost"
	FaultSlowPeerMessage                    FaultKind = "slow messages between controllers"
	FaultStoreLimitsLowered                 FaultKind = "limits of the state service lowered"
	FaultNodeUpgraded                       FaultKind = "controllers upgraded"
	FaultHeartbeatBlocked                   FaultKind = "heartbeats of a machine that reaches no controller"
	FaultCommandToBlockedMachine            FaultKind = "commands to a machine that reaches no controller"
	FaultCommandToUnreachableMachine        FaultKind = "commands to an unreachable machine"
	FaultResponseToUnreachableMachine       FaultKind = "heartbeat answers to an unreachable machine"
	FaultResponseFromIsolatedNode           FaultKind = "heartbeat answers of a controller that reaches its workers alone"
	FaultDuplicateHeartbeat                 FaultKind = "duplicate heartbeats"
	FaultDuplicateHeartbeatOfRemovedMachine FaultKind = "duplicate heartbeats of removed machines"
	FaultHeartbeatReplayedAtFailover        FaultKind = "old heartbeats at every controller after a failover"
	FaultFastBoot                           FaultKind = "machines up within two seconds"
	FaultCancelledAtEnd                     FaultKind = "jobs cancelled as they end"
	FaultRunningJobCancelled                FaultKind = "running jobs cancelled together"
	FaultMachineOfCancelledJobHung          FaultKind = "machines of cancelled jobs hung"
	FaultStartAfterCancel                   FaultKind = "starts after a confirmed cancellation"
	FaultDependentSubmitted                 FaultKind = "jobs with dependencies"
	FaultDependentRejectedInUpgrade         FaultKind = "jobs with dependencies rejected during the upgrade"
	FaultDependentStarted                   FaultKind = "jobs started after their dependencies"
	FaultDependentCancelled                 FaultKind = "jobs cancelled with a dependency"
	FaultQueryAfterWrite                    FaultKind = "queries right after an answer"
	FaultSubmitAfterWrite                   FaultKind = "repeated submissions right after an answer"
	FaultCancelAfterWrite                   FaultKind = "cancellations right after an answer"
	FaultRepeatedSubmission                 FaultKind = "repeated submissions of unfinished jobs"
	FaultDoneJobCancelled                   FaultKind = "cancellations of done jobs"
	FaultUnschedulableSubmission            FaultKind = "submissions of jobs that fit no machine"
	FaultMalformedSubmission                FaultKind = "malformed submissions"
)
