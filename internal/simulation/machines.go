package simulation

import (
	"fmt"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// workerFetchDuration is how long a worker fetches an image.
const workerFetchDuration = 3 * second

// Machines holds the machines that have booted, with their workers.
type Machines struct {
	*environment
	// Workers holds the workers of all machines that ever booted.
	Workers        map[cluster.MachineID]*SimulatedWorker
	cloud          *FakeCloud
	nodes          *nodeSet
	jobs           *jobTable
	heartbeats     *heartbeatSender
	onTaskStart    func(*FakeWorker, *Task)
	onTaskDone     func(cluster.TaskID)
	fastBootsUntil cluster.Time
	initialCount   int                 // machines that Add has provisioned
	sortedLiveIDs  []cluster.MachineID // nil: to be computed anew
}

// SimulatedWorker is the worker of a machine, with the state of its way to the
// controllers.
type SimulatedWorker struct {
	*FakeWorker
	nodeIndex              int          // of the controller that it sends heartbeats to
	hungUntil              cluster.Time // the machine stands still until then
	partitionedUntil       cluster.Time // its network is partitioned until then
	unreachableUntil       cluster.Time // its heartbeats arrive, nothing reaches it until then
	heartbeatsBlockedUntil cluster.Time // its connections to controllers fail until then, command pushes reach it
	removed                bool
	exchangePending        bool // a heartbeat is on its way
	heartbeatQueued        bool // another heartbeat follows the present one
	lastHeartbeatAt        cluster.Time
}

// commandsBlockedUntil is when commands of a controller reach the worker again.
func (w *SimulatedWorker) commandsBlockedUntil(node *Node) cluster.Time {
	return max(node.WorkersPartitionedUntil, w.partitionedUntil, w.hungUntil, w.unreachableUntil)
}

// isLeaseExpired tells whether the controllers' lease on the worker is over.
func (w *SimulatedWorker) isLeaseExpired(now cluster.Time) bool {
	return now-w.leaseRenewedAt > w.LeaseDuration
}

// isLeaseExpiredWhileHung tells whether a machine hangs on past its lease. Its tasks
// can't run any more: they are ended as the first thing when the machine goes on.
func (w *SimulatedWorker) isLeaseExpiredWhileHung(now cluster.Time) bool {
	return now < w.hungUntil && w.isLeaseExpired(now)
}

// Add provisions a machine that is up at once.
func (m *Machines) Add(machineType, zone string, spot bool) {
	m.cloud.AvailableCapacity[CapacityKey(machineType, zone, spot)]++
	reply := m.cloud.ScaleOut(m.Now, messages.CloudScaleOut{
		Name:  fmt.Sprint("initial-", m.initialCount),
		Type:  machineType,
		Zone:  zone,
		Spot:  spot,
		Count: 1,
	})
	m.initialCount++
	m.cloud.machines[reply.IDs[0]].bootedAt = m.Now
}

// Remove ends a machine with all that is on it.
func (m *Machines) Remove(id cluster.MachineID) {
	m.cloud.RemoveMachine(id)
	if worker := m.Workers[id]; worker != nil {
		worker.removed = true
		worker.Tasks = nil
		m.sortedLiveIDs = nil
	}
}

// LiveCount counts the machines that are up.
func (m *Machines) LiveCount() int { return len(m.liveIDs()) }

// Random draws a machine that is up; "": there is none.
func (m *Machines) Random() cluster.MachineID {
	ids := m.liveIDs()
	if len(ids) == 0 {
		return ""
	}
	return ids[m.Rand.IntN(len(ids))]
}

// liveIDs lists the machines that are up in order.
func (m *Machines) liveIDs() []cluster.MachineID {
	if m.sortedLiveIDs == nil {
		for id, worker := range m.Workers {
			if !worker.removed {
				m.sortedLiveIDs = append(m.sortedLiveIDs, id)
			}
		}
		sort.Slice(m.sortedLiveIDs, func(i, j int) bool { return m.sortedLiveIDs[i] < m.sortedLiveIDs[j] })
	}
	return m.sortedLiveIDs
}

// live returns the worker of a machine that is up, or nil.
func (m *Machines) live(id cluster.MachineID) *SimulatedWorker {
	worker := m.Workers[id]
	if worker == nil || worker.removed {
		return nil
	}
	return worker
}

// advance starts the workers of machines that have booted, and ends the tasks
// whose time has come.
func (m *Machines) advance() {
	for _, machine := range m.cloud.CompleteBoots(m.Now) {
		m.startWorker(machine)
	}
	for _, id := range m.liveIDs() {
		worker := m.Workers[id]
		if m.Now >= worker.hungUntil && worker.Advance(m.Now) {
			m.heartbeats.schedule(worker)
		}
	}
}

func (m *Machines) startWorker(machine cluster.ListedMachine) {
	worker := &SimulatedWorker{FakeWorker: m.newFakeWorker(machine), nodeIndex: m.Rand.IntN(len(m.nodes.Nodes))}
	worker.Start(m.Now)
	m.Workers[machine.ID] = worker
	m.sortedLiveIDs = nil
	m.heartbeats.loop(worker)
}

func (m *Machines) newFakeWorker(machine cluster.ListedMachine) *FakeWorker {
	return &FakeWorker{
		ID:            machine.ID,
		Type:          machine.Type,
		Zone:          machine.Zone,
		Spot:          machine.Spot,
		Capacity:      m.cloud.CapacityOf(machine.Type),
		FetchDuration: workerFetchDuration,
		LeaseDuration: m.config.WorkerLease,
		DoneTasks:     m.jobs.doneTasks,
		OnStart:       m.onTaskStart,
		OnDone:        m.onTaskDone,
		LookupJob:     m.jobs.lookupInfo,
	}
}
