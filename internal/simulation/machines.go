package simulation

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// workerFetchDuration is how long a worker takes to fetch an image.
const workerFetchDuration = 3 * second

// Machines holds the machines that have booted and their workers.
type Machines struct {
	*environment
	// Workers holds the workers of all machines that have ever booted, including
	// removed ones.
	Workers        map[cluster.MachineID]*SimulatedWorker
	cloud          *FakeCloud
	nodes          *nodeSet
	jobs           *jobTable
	heartbeats     *heartbeatSender
	onTaskStart    func(*FakeWorker, *Task)
	onTaskDone     func(cluster.TaskID)
	fastBootsUntil cluster.Time
	initialCount   int                 // number of machines provisioned by Add
	sortedLiveIDs  []cluster.MachineID // nil if it has to be recomputed
}

// SimulatedWorker is a machine's worker with the state of its connection to the
// controllers and the faults of the machine.
type SimulatedWorker struct {
	*FakeWorker
	nodeIndex              int          // of the controller that receives its heartbeats
	hungUntil              cluster.Time // the machine hangs until then
	partitionedUntil       cluster.Time // its network is partitioned until then
	unreachableUntil       cluster.Time // until then its heartbeats arrive, but nothing reaches it
	heartbeatsBlockedUntil cluster.Time // until then its heartbeats fail, but command pushes reach it
	removed                bool
	exchangePending        bool // a heartbeat has been sent and the exchange has not finished
	heartbeatQueued        bool // another heartbeat is sent after the current exchange
	lastHeartbeatAt        cluster.Time
}

// commandsBlockedUntil returns when commands from a node reach the worker again.
func (w *SimulatedWorker) commandsBlockedUntil(node *Node) cluster.Time {
	return max(node.WorkersPartitionedUntil, w.partitionedUntil, w.hungUntil, w.unreachableUntil)
}

// isLeaseExpired reports whether the worker's lease has expired.
func (w *SimulatedWorker) isLeaseExpired(now cluster.Time) bool {
	return now-w.leaseRenewedAt > w.LeaseDuration
}

// isLeaseExpiredWhileHung reports whether the machine hangs and the worker's lease has
// expired. The tasks make no further progress, because the worker drops them as soon as
// the machine recovers.
func (w *SimulatedWorker) isLeaseExpiredWhileHung(now cluster.Time) bool {
	return now < w.hungUntil && w.isLeaseExpired(now)
}

// Add provisions a machine that boots without delay and does not use up the available
// capacity.
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

// Remove removes a machine and all tasks on it.
func (m *Machines) Remove(id cluster.MachineID) {
	m.cloud.RemoveMachine(id)
	if worker := m.Workers[id]; worker != nil {
		worker.removed = true
		worker.Tasks = nil
		m.sortedLiveIDs = nil
	}
}

// LiveCount returns the number of machines that are up: booted and not removed.
func (m *Machines) LiveCount() int { return len(m.liveIDs()) }

// Random returns a random machine that is up, or an empty ID if there is none.
func (m *Machines) Random() cluster.MachineID { return m.RandomFrom(m.Rand) }

// RandomFrom is like Random with another source of randomness.
func (m *Machines) RandomFrom(random *rand.Rand) cluster.MachineID {
	ids := m.liveIDs()
	if len(ids) == 0 {
		return ""
	}
	return ids[random.IntN(len(ids))]
}

// liveIDs returns the IDs of the machines that are up, sorted.
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

// live returns the worker of a machine, or nil if the machine is not up.
func (m *Machines) live(id cluster.MachineID) *SimulatedWorker {
	worker := m.Workers[id]
	if worker == nil || worker.removed {
		return nil
	}
	return worker
}

// advance starts the workers of machines that have booted, and advances all workers that
// do not hang to the current time. Workers whose tasks have changed send a heartbeat.
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
