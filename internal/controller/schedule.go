package controller

import (
	"slices"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/scheduling"
)

// isSchedulable tells whether new starts may go to a machine.
func (c *Controller) isSchedulable(m *state.Machine) bool {
	return m.TokenAcknowledged && !m.Booting && !m.Draining && !m.Releasing && !m.StartInDoubt && !m.RaisingToken && c.loop.Now() >= m.NoStartsBefore &&
		c.loop.Now()-m.LastHeartbeat < 2*c.config.HeartbeatInterval+second
}

// freeCapacity is a machine with room.
type freeCapacity struct {
	machine      *state.Machine
	available    cluster.Resources
	kindIndex    int // its index among the kinds of the slots
	imageFetches scheduling.ImageFetches
	machineCPU   cluster.Amount // CPUs of the whole machine
}

// listFreeCapacity lists the machines with room, and their kinds: what a job may use is
// decided once for all machines of a kind.
func (c *Controller) listFreeCapacity(p *state.Shard, least cluster.Amount) ([]freeCapacity, []grouprecord.Kind) {
	var l []freeCapacity
	var kinds []grouprecord.Kind
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if m.Cordoned && !m.ScaleInCandidate || !c.isSchedulable(m) || m.Group.Offer != nil {
			continue
		}
		t, ok := c.state.MachineTypes[m.MachineType]
		if !ok {
			continue
		}
		s := freeCapacity{machine: m, available: t.Capacity.Minus(m.UsedResources()), machineCPU: t.Capacity.CPU, kindIndex: -1}
		if s.available.CPU < least {
			continue
		}
		for _, a := range m.Assignments {
			if a.IsLive() && a.RunningSince == 0 && !m.HasCachedImage(a.Job.Spec.Image) {
				s.addFetch(a.Job)
			}
		}
		k := m.Kind()
		for i := range kinds {
			if kinds[i] == k {
				s.kindIndex = i
			}
		}
		if s.kindIndex < 0 {
			s.kindIndex = len(kinds)
			kinds = append(kinds, k)
		}
		l = append(l, s)
	}
	return l, kinds
}

// addFetch notes that a task of a job waits for its image there.
func (s *freeCapacity) addFetch(j *state.Job) {
	s.imageFetches.Add(j.Spec.Image, j.EffectivePriority, j.Spec.ResourceRequest.CPU)
}

// imageState says how soon the machine can start a job for its image.
func (s *freeCapacity) imageState(j *state.Job) scheduling.ImageState {
	if s.machine.HasCachedImage(j.Spec.Image) {
		return scheduling.ImageCached
	}
	return s.imageFetches.State(j.Spec.Image, j.EffectivePriority, j.Spec.ResourceRequest.CPU, s.machineCPU)
}

// schedulingInterval is the least time between two placements: what happens within it
// is decided together.
const schedulingInterval = 40 * millisecond

// scheduleOwnedShards starts waiting tasks of every part held here.
func (c *Controller) scheduleOwnedShards() {
	for _, p := range c.state.Shards {
		if p.Owned && p.Ready {
			c.scheduleShard(p)
		}
	}
}

func (c *Controller) scheduleShard(p *state.Shard) {
	if c.writeQueue.IsUnavailableFor(second) {
		return
	}
	jobs, owed := c.queuedJobs(p)
	if len(jobs) == 0 {
		return
	}
	least := jobs[0].Spec.ResourceRequest.CPU
	for _, j := range jobs {
		least = min(least, j.Spec.ResourceRequest.CPU)
	}
	slots, kinds := c.listFreeCapacity(p, least)
	use := p.UsageByTeam()
	// What has waited too long goes first, with one task. Where that does not
	// fit yet, smaller work must not take again and again what it waits for: a
	// part of its team's limit and a machine are kept free for it.
	kept := map[string]cluster.Resources{}
	for _, j := range jobs {
		if !c.isStarving(j) {
			continue
		}
		before := j.AssignedCount
		if c.scheduleJob(p, j, slots, kinds, use, cluster.Resources{}, 1); j.AssignedCount > before {
			continue
		}
		kept[j.Spec.Team] = kept[j.Spec.Team].Plus(j.Spec.ResourceRequest)
		if m := c.reserveMachine(p, j); m != nil {
			slots = slices.DeleteFunc(slots, func(s freeCapacity) bool { return s.machine == m })
		}
	}
	for _, j := range jobs {
		if len(slots) > 0 {
			c.scheduleJob(p, j, slots, kinds, use, kept[j.Spec.Team], j.PendingCount())
		}
	}
	if c.loop.Now() >= p.NextPreemptionAt {
		p.NextPreemptionAt = c.loop.Now() + second/2
		c.preempt(p, jobs, owed, use)
	}
}

// jobScheduling starts tasks of one job on the machines that suit it.
type jobScheduling struct {
	controller  *Controller
	shard       *state.Shard
	job         *state.Job
	teamUsage   state.TeamUsage   // of the job's team, kept up to date
	quotaLimit  cluster.Resources // of the team, less what is kept for starving jobs
	tasksByZone map[string]int    // the job's tasks by zone
	remaining   int               // how many tasks may still be started
}

// scheduleJob starts up to n tasks of a job: on machines that have its image,
// else are getting it, else have most free room.
func (c *Controller) scheduleJob(p *state.Shard, j *state.Job, slots []freeCapacity, kinds []grouprecord.Kind, use state.TeamUsage, kept cluster.Resources, n int) {
	allowed := make([]bool, len(kinds))
	any := false
	for i, k := range kinds {
		allowed[i] = (j.Spec.Spot || !k.Spot) && j.Spec.AllowsMachineType(c.state.MachineTypes[k.Type], k.Zone)
		any = any || allowed[i]
	}
	limit := c.state.Teams[j.Spec.Team].QuotaLimit.Minus(kept)
	l := &jobScheduling{controller: c, shard: p, job: j, teamUsage: use, quotaLimit: limit, remaining: n}
	if !any || !l.isWithinQuota() {
		return
	}
	candidates := c.rankCandidates(p, j, slots, allowed)
	l.tasksByZone = c.countTasksByZone(j)
	for _, candidate := range candidates {
		if !l.fillMachine(candidate) || l.remaining <= 0 || j.PendingCount() == 0 {
			return
		}
	}
}

// isWithinQuota tells whether the team may have one more of the job's tasks.
func (l *jobScheduling) isWithinQuota() bool {
	with := l.teamUsage[l.job.Spec.Team].Plus(l.job.Spec.ResourceRequest)
	return with.CPU <= l.quotaLimit.CPU && with.GPU <= l.quotaLimit.GPU
}

// fillMachine starts tasks on a machine as long as there is room; false: the job can
// have no more anywhere.
func (l *jobScheduling) fillMachine(f candidate) bool {
	c, j, m := l.controller, l.job, f.capacity.machine
	last := cluster.TaskID{}
	for l.remaining > 0 && j.PendingCount() > 0 && j.Spec.ResourceRequest.FitsIn(f.capacity.available) && c.inventory.HasRoom(m.Group, j) {
		if !l.isWithinQuota() {
			return false
		}
		index := j.NextPendingTask()
		if index < 0 {
			return false
		}
		task := cluster.TaskID{Job: j.Spec.ID, Index: index}
		// An earlier attempt may still be being cleared away there.
		if !isZoneAllowed(&j.Spec, l.tasksByZone, m.Zone) || m.Assignments[task] != nil {
			return true
		}
		l.assignTask(f, task, last)
		last = task
	}
	return true
}

// isZoneAllowed tells whether a job's rules let one more of its tasks into a zone,
// given its tasks by zone.
func isZoneAllowed(spec *cluster.JobSpec, zones map[string]int, zone string) bool {
	if spec.Colocate && !isOnlyZone(zones, zone) {
		return false
	}
	return !spec.Spread || zones[zone] < (spec.Tasks+1)/2
}

// assignTask plans the start of a task on a machine; last is the task that was placed
// there just before.
func (l *jobScheduling) assignTask(f candidate, task, last cluster.TaskID) {
	c, j, m := l.controller, l.job, f.capacity.machine
	a := &state.Assignment{Task: task, Job: j, Attempt: l.shard.NextAttempt(), ResourceRequest: j.Spec.ResourceRequest, MachineID: m.ID}
	m.AddAssignment(a)
	m.Group.AddedBytes += addedRecordBytes(j, m, task, last)
	j.SetAssigned(task.Index, a)
	l.tasksByZone[m.Zone]++
	l.teamUsage[j.Spec.Team] = l.teamUsage[j.Spec.Team].Plus(j.Spec.ResourceRequest)
	f.capacity.available = f.capacity.available.Minus(j.Spec.ResourceRequest)
	if f.Image == scheduling.ImageAbsent {
		f.capacity.addFetch(j)
	}
	l.remaining--
	c.inventory.WriteMachine(m, writequeue.Start)
}

// candidate is a slot that a job's tasks may go to.
type candidate struct {
	scheduling.Candidate
	capacity *freeCapacity
}

// rankCandidates lists the slots that a job's tasks may go to, the best first.
// allowed tells it by their kinds.
func (c *Controller) rankCandidates(p *state.Shard, j *state.Job, slots []freeCapacity, allowed []bool) []candidate {
	var fit []candidate
	for i := range slots {
		s := &slots[i]
		if !allowed[s.kindIndex] || !j.Spec.ResourceRequest.FitsIn(s.available) || !c.inventory.HasRoom(s.machine.Group, j) || c.shouldAvoid(j, s.machine) || !c.canUseMachine(j, s.machine) {
			continue
		}
		if image := s.imageState(j); image != scheduling.ImageBlocked {
			fit = append(fit, candidate{scheduling.Candidate{Image: image, Spot: s.machine.Spot, FreeCPU: s.available.CPU}, s})
		}
	}
	spotSuits, ordinarySuits := c.isMarketSuited(p, j, true), c.isMarketSuited(p, j, false)
	for i := range fit {
		if fit[i].Suitable = ordinarySuits; fit[i].Spot {
			fit[i].Suitable = spotSuits
		}
	}
	ordinaryFirst := c.isOnDemandWorthFetching(j)
	slices.SortStableFunc(fit, func(a, b candidate) int { return a.Compare(&b.Candidate, ordinaryFirst) })
	return fit
}

// addedRecordBytes is about how much longer a record gets by a task: one that follows
// on the task placed before on the same machine only widens its range.
func addedRecordBytes(j *state.Job, m *state.Machine, t, last cluster.TaskID) int {
	continues := last.Job == t.Job && last.Index+1 == t.Index
	jobListed := false
	if !continues {
		for a := range j.ListedAssignments {
			if a.MachineID == m.ID && a.Task != t {
				jobListed = true
				break
			}
		}
	}
	return grouprecord.AddedBytes(t.Job, continues, jobListed)
}

// reserveMachine picks the machine that is kept free for a starving job: the one
// that it has been kept already, else the one with most room.
func (c *Controller) reserveMachine(p *state.Shard, j *state.Job) *state.Machine {
	var best *state.Machine
	var most cluster.Amount
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if !c.isSchedulable(m) || m.Cordoned || m.Group.Offer != nil || !c.isAllowedOn(j, m) {
			continue
		}
		if m.ID == j.ReservedMachine {
			return m
		}
		if free := c.state.MachineTypes[m.MachineType].Capacity.Minus(m.UsedResources()).CPU; best == nil || free > most {
			best, most = m, free
		}
	}
	if best != nil {
		j.ReservedMachine = best.ID
	}
	return best
}

// shouldAvoid tells whether a job has failed on a machine and may try others.
func (c *Controller) shouldAvoid(j *state.Job, m *state.Machine) bool {
	return len(j.FailedMachines) > 0 && len(j.FailedMachines) < 3 && j.FailedMachines[m.ID]
}

// countTasksByZone counts a job's tasks by zone, where its rules ask for that. Those
// proven gone don't count, though their records still have to say so.
func (c *Controller) countTasksByZone(j *state.Job) map[string]int {
	zones := map[string]int{}
	if j.Spec.Colocate || j.Spec.Spread {
		for _, a := range j.Assignments {
			if m := c.state.Machines[a.MachineID]; m != nil && a.IsLive() {
				zones[m.Zone]++
			}
		}
	}
	return zones
}

func isOnlyZone(zones map[string]int, z string) bool {
	for other, n := range zones {
		if n > 0 && other != z {
			return false
		}
	}
	return true
}

func (c *Controller) isAllowedOn(j *state.Job, m *state.Machine) bool {
	s := &j.Spec
	return (s.Spot || !m.Spot) && s.AllowsMachineType(c.state.MachineTypes[m.MachineType], m.Zone) && !c.shouldAvoid(j, m)
}
