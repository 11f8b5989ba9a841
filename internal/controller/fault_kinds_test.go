package controller_test

import "stairrelay/internal/simulation"

// The kinds of faults that the scenarios of this package count, in addition to those of
// package simulation.
const (
	faultQuickReturn                 simulation.FaultKind = "a controller or a machine returns within a second, and copies of starts follow"
	faultDeepPipelineCancelled       simulation.FaultKind = "jobs of deep pipelines cancelled through a dependency"
	faultNodePaused                  simulation.FaultKind = "a controller paused"
	faultAllNodesPaused              simulation.FaultKind = "all controllers paused"
	faultZonePartitioned             simulation.FaultKind = "a zone partitioned"
	faultHalfOfMachinesRemoved       simulation.FaultKind = "half of the machines removed"
	faultPeersRefused                simulation.FaultKind = "connections between controllers refused"
	faultAllNodesKilledInOutage      simulation.FaultKind = "all controllers killed in an outage"
	faultFaultyMachinesWithoutCloud  simulation.FaultKind = "faulty machines in an outage of the cloud"
	faultBusiestNodeKilledRepeatedly simulation.FaultKind = "the busiest controller killed repeatedly"
	faultNodeKilledInRestart         simulation.FaultKind = "a controller killed during its restart"
	faultRejectionThenOutage         simulation.FaultKind = "the store rejects one controller, then all"
	faultOutageAtAcquire             simulation.FaultKind = "an outage within a second of an acquisition"
	faultNodeKilledAtAcquire         simulation.FaultKind = "a controller killed within a second of an acquisition"
	faultFastBootsWithSlowStore      simulation.FaultKind = "fast boots with a slow store as the busiest controller is killed"
	faultSlowStoreRejectsNode        simulation.FaultKind = "a slow store that rejects one controller"
	faultOldNodeRestarted            simulation.FaultKind = "production controllers restarted before their upgrade"
	faultOldNodeKilledAtAcquire      simulation.FaultKind = "a production controller killed within a second of an acquisition"
	faultUpgradedTogether            simulation.FaultKind = "several controllers upgraded together"
	faultOldNodePartitioned          simulation.FaultKind = "a production controller partitioned while others are upgraded"
	faultWriteAboveLoweredRate       simulation.FaultKind = "transactions above the lowered rate"
)
