package simulation

// FaultKind is a kind of fault or other rare event. Tests check that the kinds
// that they inject have occurred. Otherwise a run without violations would prove nothing.
type FaultKind string

// Kinds of faults that the simulation counts when they take effect.
const (
	FaultLateWrite                          FaultKind = "late writes"
	FaultLateWriteApplied                   FaultKind = "late writes applied"
	FaultReplyLost                          FaultKind = "writes applied, their replies lost"
	FaultSlowPeerMessage                    FaultKind = "slow messages between controllers"
	FaultStoreLimitsLowered                 FaultKind = "limits of the store lowered"
	FaultNodeUpgraded                       FaultKind = "controllers upgraded"
	FaultHeartbeatBlocked                   FaultKind = "blocked heartbeats"
	FaultHeartbeatTooLarge                  FaultKind = "heartbeats larger than the size limit"
	FaultCommandToBlockedMachine            FaultKind = "commands to a machine with blocked heartbeats"
	FaultCommandToUnreachableMachine        FaultKind = "commands to an unreachable machine"
	FaultRepeatedStart                      FaultKind = "executed pushes of starts delivered again"
	FaultStartCopyDelivered                 FaultKind = "executed starts delivered again on request"
	FaultUnknownFields                      FaultKind = "messages and records with unknown fields"
	FaultRepeatedWrite                      FaultKind = "executed transactions delivered again"
	FaultRepeatedCloudCall                  FaultKind = "executed calls to the cloud delivered again"
	FaultRepeatedPeerMessage                FaultKind = "answered messages between controllers delivered again"
	FaultRepeatedUserRequest                FaultKind = "users' executed submissions and cancellations delivered again"
	FaultResponseToUnreachableMachine       FaultKind = "heartbeat responses to an unreachable machine"
	FaultResponseFromIsolatedNode           FaultKind = "heartbeat responses from a controller that reaches only its workers"
	FaultDuplicateHeartbeat                 FaultKind = "duplicate heartbeats"
	FaultDuplicateHeartbeatOfRemovedMachine FaultKind = "duplicate heartbeats of removed machines"
	FaultHeartbeatReplayedAtFailover        FaultKind = "heartbeats replayed after a failover"
	FaultFastBoot                           FaultKind = "machines booted within two seconds"
	FaultCancelledAtEnd                     FaultKind = "jobs cancelled as they end"
	FaultRunningJobCancelled                FaultKind = "running jobs cancelled together"
	FaultMachineOfCancelledJobHung          FaultKind = "machines of cancelled jobs hung"
	FaultStartAfterCancel                   FaultKind = "task starts after a confirmed cancellation"
	FaultDependentSubmitted                 FaultKind = "jobs with dependencies"
	FaultDependentRejectedInUpgrade         FaultKind = "jobs with dependencies rejected during the upgrade"
	FaultDependentStarted                   FaultKind = "jobs started after their dependencies"
	FaultDependentCancelled                 FaultKind = "jobs cancelled through a dependency"
	FaultQueryAfterWrite                    FaultKind = "queries right after a write"
	FaultSubmitAfterWrite                   FaultKind = "repeated submissions right after a write"
	FaultCancelAfterWrite                   FaultKind = "cancellations right after a write"
	FaultRepeatedSubmission                 FaultKind = "repeated submissions of unfinished jobs"
	FaultDoneJobCancelled                   FaultKind = "cancellations of jobs that are done"
	FaultUnschedulableSubmission            FaultKind = "submissions of jobs that fit no machine"
	FaultMalformedSubmission                FaultKind = "malformed submissions"
)
