package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// provisioningOption is something that the cloud may have.
type provisioningOption struct {
	Type, Zone string
	Spot       bool
}

// provisioningRequest is a recorded request; it is repeated under its name until its
// answer is known.
type provisioningRequest struct {
	name          string
	option        provisioningOption
	count         int
	modRevision   cluster.ModRevision
	answered      bool
	grantedCount  int // machines of an answer that is not recorded yet
	attempts      int
	groupID       string // that its machines go into, when this claim has made it
	createInDoubt bool   // a late copy of its creation may yet be carried out
}

type provisioningRecord struct {
	Shard   cluster.ShardID `json:"p"`
	Type    string          `json:"f"`
	Zone    string          `json:"y"`
	Spot    bool            `json:"s,omitempty"`
	Count   int             `json:"n"`
	WriteID string          `json:"w"`
}

func provisioningKey(name string) string { return "rentals/" + name }

func (c *Controller) applyProvisioningRecord(kv messages.KV, p *shard) {
	var rec provisioningRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		c.giveUpCorruptShard(p, kv.Key, "rental record")
		return
	}
	if rec.Shard != p.id {
		return
	}
	name := strings.TrimPrefix(kv.Key, "rentals/")
	r := &provisioningRequest{name: name, option: provisioningOption{rec.Type, rec.Zone, rec.Spot}, count: rec.Count, modRevision: kv.ModRevision}
	p.provisioningRequests[name] = r
	c.callScaleOut(p, r)
}

// pendingWork is what a part's waiting tasks need beyond what it has.
type pendingWork struct {
	job      *job
	tasks    int
	starving bool // a starving job's next task
}

// listPendingWork lists the waiting tasks that team limits would let run at once.
func (c *Controller) listPendingWork(p *shard) []pendingWork {
	use := c.teamUsageOf(p)
	var l []pendingWork
	jobs, _ := c.queuedJobs(p)
	// A starving job's next task comes first here as it does when tasks are
	// placed: else no machine of the kind it needs would ever be rented.
	first := map[*job]int{}
	for _, j := range jobs {
		if c.isStarving(j) {
			first[j] = 1
			use[j.spec.Team] = use[j.spec.Team].Plus(j.spec.ResourceRequest)
			l = append(l, pendingWork{j, 1, true})
		}
	}
	for _, j := range jobs {
		need := j.spec.ResourceRequest
		n := min(j.pendingCount()-first[j], c.teams[j.spec.Team].QuotaLimit.Minus(use[j.spec.Team]).FitCount(cluster.Resources{CPU: need.CPU, GPU: need.GPU}))
		if n <= 0 {
			continue
		}
		use[j.spec.Team] = use[j.spec.Team].Plus(need.Times(n))
		l = append(l, pendingWork{job: j, tasks: n})
	}
	return l
}

// packWork takes from the waiting work what would fit into room.
func (c *Controller) packWork(work []pendingWork, room cluster.Resources, ok func(*job) bool) int {
	took := 0
	for i := range work {
		w := &work[i]
		if w.tasks <= 0 || !w.job.spec.ResourceRequest.FitsIn(room) || !ok(w.job) {
			continue
		}
		n := min(w.tasks, room.FitCount(w.job.spec.ResourceRequest))
		room = room.Minus(w.job.spec.ResourceRequest.Times(n))
		w.tasks -= n
		took += n
	}
	return took
}

// scheduleScaleOut looks for machines before the next regular sweep: boots take long,
// and every second that a request waits is added to them.
func (c *Controller) scheduleScaleOut() {
	if c.scaleOutScheduled {
		return
	}
	c.scaleOutScheduled = true
	c.loop.After(c.processHealth.StretchDelay(100*millisecond), func() {
		c.scaleOutScheduled = false
		c.runScaleOut()
	})
}

// runScaleOut finds machines for work that has none: first what is coming
// already, then other parts' idle machines, then the cloud's.
func (c *Controller) runScaleOut() {
	c.pollCloudList()
	c.cordonSurplusMachines()
	for _, p := range c.shards {
		if p.owned && p.ready && len(c.machineTypes) > 0 && !c.writeQueue.IsUnavailableFor(second) {
			c.scaleOutShard(p)
		}
	}
}

func (c *Controller) scaleOutShard(p *shard) {
	work := c.listPendingWork(p)
	if len(work) == 0 {
		return
	}
	// What the usable machines have free is about to be used.
	slots, _ := c.listFreeCapacity(p, 1)
	for i := range slots {
		s := &slots[i]
		c.packWork(work, s.available, func(j *job) bool { return c.isAllowedOn(j, s.machine) && c.canUseMachine(j, s.machine) })
	}
	c.counters.addMachineScans(p.machines)
	for _, m := range p.machines {
		if !m.booting && !m.tokenAcknowledged && !m.releasing && c.loop.Now()-m.ownedSince < 5*second {
			c.packWork(work, c.machineTypes[m.machineType].Capacity.Minus(m.usedResources()), func(j *job) bool { return c.isAllowedOn(j, m) })
		}
	}
	// Another part's idle machine serves at once, a booting one much later.
	c.acceptOffers(p, work)
	c.counters.addMachineScans(p.machines)
	for _, m := range p.machines {
		if m.releasing || m.draining || c.isSchedulable(m) {
			continue
		}
		if m.booting {
			c.packWork(work, c.machineTypes[m.machineType].Capacity.Minus(m.usedResources()), func(j *job) bool { return c.isAllowedOn(j, m) })
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.provisioningRequests)) {
		r := p.provisioningRequests[name]
		n := r.count
		if r.answered {
			n = r.grantedCount
		}
		for range n {
			c.packWork(work, c.machineTypes[r.option.Type].Capacity, func(j *job) bool { return c.isOptionAllowed(j, r.option) })
		}
	}
	if c.canScaleOut(p) {
		c.requestMachines(p, work)
	}
}

func (c *Controller) isOptionAllowed(j *job, o provisioningOption) bool {
	if j.spec.Colocate && !isOnlyZone(c.countTasksByZone(j), o.Zone) {
		return false
	}
	return (j.spec.Spot || !o.Spot) && c.isTypeAllowed(&j.spec, c.machineTypes[o.Type], o.Zone)
}

// idleMachines lists the machines of a part that another may take.
func (c *Controller) idleMachines(p *shard) []*machine {
	var l []*machine
	if !p.owned || !p.ready {
		return nil
	}
	c.counters.addMachineScans(p.machines)
	for _, m := range p.machines {
		if c.isSchedulable(m) && len(m.assignments) == 0 && m.recordedTaskCount == 0 && !m.group.writeInFlight && m.group.offer == nil && m.address != "" &&
			len(m.unrecordedToStop) == 0 && c.loop.Now()-m.idleSince > second/2 {
			l = append(l, m)
		}
	}
	return l
}

// requestMachines asks the cloud, cheapest per task first.
func (c *Controller) requestMachines(p *shard, work []pendingWork) {
	flying := 0
	for _, r := range p.provisioningRequests {
		if !r.answered {
			flying++
		}
	}
	for flying < 4 {
		var first *job
		for _, w := range work {
			if w.tasks > 0 {
				first = w.job
				break
			}
		}
		if first == nil {
			return
		}
		opts := c.optionsByCost(p, first)
		if len(opts) > 0 && first.spec.Spot && !opts[0].Spot && !c.isOnDemandWorthwhile(p, work, opts[0]) {
			opts = nil
		}
		if len(opts) == 0 {
			for i := range work { // nothing to be had for it now
				if work[i].job == first {
					work[i].tasks = 0
				}
			}
			continue
		}
		o := opts[0]
		n := 0
		for n < min(50, c.groupMachines()) {
			if c.packWork(work, c.machineTypes[o.Type].Capacity, func(j *job) bool { return c.isOptionAllowed(j, o) }) == 0 {
				break
			}
			n++
		}
		if n == 0 {
			return
		}
		if !c.tryCloudCall() {
			return
		}
		flying++
		c.createProvisioningRequest(p, o, n)
	}
}

// isOnDemandWorthwhile tells whether work that may use spot machines, of which there
// are none now, should have an ordinary one at several times the price: only
// if what is there and coming would not be through with it by the time that
// the machine is up.
func (c *Controller) isOnDemandWorthwhile(p *shard, work []pendingWork, o provisioningOption) bool {
	t := c.machineTypes[o.Type]
	if t.OnDemandPrice < 1.5*t.SpotPrice {
		return true
	}
	// A part with few machines gets its share of the others' as they empty.
	var mine, all cluster.Amount
	loads := c.allShardLoads()
	for q, l := range loads {
		all += l.Available + l.Booting
		if q == p.id {
			mine = l.Available + l.Booting
		}
	}
	have := float64(max(mine, all/cluster.Amount(max(len(loads), 1)))) / 1e6
	rest := 0.0
	for _, w := range work {
		rest += float64(w.tasks) * float64(w.job.spec.ResourceRequest.CPU) / 1e6 * c.expectedRunSeconds(w.job)
	}
	return rest > have*t.BootSeconds
}

func (c *Controller) optionsByCost(p *shard, j *job) []provisioningOption {
	type priced struct {
		o    provisioningOption
		cost float64
	}
	var l []priced
	for _, name := range slices.Sorted(maps.Keys(c.machineTypes)) {
		t := c.machineTypes[name]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := provisioningOption{name, z, spot}
				if !c.isOptionAllowed(j, o) || c.loop.Now() < p.outOfCapacityUntil[o] {
					continue
				}
				l = append(l, priced{o, t.HourlyPrice(spot) / float64(tasksPerMachine(t.Capacity, j.spec.ResourceRequest))})
			}
		}
	}
	sort.SliceStable(l, func(a, b int) bool { return l[a].cost < l[b].cost })
	out := make([]provisioningOption, len(l))
	for i := range l {
		out[i] = l[i].o
	}
	return out
}

// tasksPerMachine counts how many tasks of a need an empty machine takes; at least
// one, as it divides prices.
func tasksPerMachine(room, need cluster.Resources) int { return max(room.FitCount(need), 1) }

// maxCapacityBackoffDoublings bounds how often the pause after a refusal doubles: each request
// costs two puts, a whole second's worth where the write rate is low.
const maxCapacityBackoffDoublings = 2

func (c *Controller) createProvisioningRequest(p *shard, o provisioningOption, n int) {
	r := &provisioningRequest{name: c.nextProvisioningRequestName(p), option: o, count: n, groupID: c.nextMachineGroupName(p)}
	p.provisioningRequests[r.name] = r
	x := &writequeue.Write{
		ShardID: p.id, Keys: []string{provisioningKey(r.name)},
		Build: func(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
			v, _ := json.Marshal(provisioningRecord{p.id, o.Type, o.Zone, o.Spot, n, nonce})
			return []messages.TxnOp{{Key: provisioningKey(r.name), Value: v}}, []cluster.ModRevision{0}
		},
		// Once it is settled its key is absent again, and a late copy of this would
		// bring it back; a successor would then record its machines a second time.
		// The key of its machines' group stays until the next claim fences the copy.
		ExtraCompares: []messages.Compare{{Key: "groups/" + r.groupID, ModRevision: 0}},
		OnConflict:    func() { c.handleForeignWrite(p, provisioningKey(r.name), "name in use") },
	}
	x.OnApplied = func(e cluster.Revision) {
		r.modRevision, r.createInDoubt = cluster.ModRevision(e), x.InDoubt
		c.callScaleOut(p, r)
	}
	c.writeQueue.Enqueue(writequeue.ScaleOut, x)
}

func (c *Controller) isProvisioningCurrent(p *shard, r *provisioningRequest) bool {
	return p.owned && p.provisioningRequests[r.name] == r
}

func (c *Controller) callScaleOut(p *shard, r *provisioningRequest) {
	if !c.isProvisioningCurrent(p, r) || r.answered {
		return
	}
	if r.attempts++; r.attempts > 1 { // the first was counted when it was decided
		c.forceCloudCall()
	}
	c.loop.Emit(messages.CloudScaleOut{Name: r.name, Type: r.option.Type, Zone: r.option.Zone, Spot: r.option.Spot, Count: r.count, Call: eventloop.Call(c.loop, func(a messages.ScaleOutReply) {
		if !c.isProvisioningCurrent(p, r) {
			return
		}
		switch a.Outcome {
		case messages.OK:
			c.loop.Log(messages.LogDebug, "rented", "part", int(p.id), "type", r.option.Type, "zone", r.option.Zone, "spot", r.option.Spot, "asked", r.count, "got", len(a.IDs))
			if len(a.IDs) < r.count {
				p.outOfCapacityUntil[r.option] = c.loop.Now() + c.config.Tuning.OutOfCapacityBackoff
			}
			delete(p.outOfCapacityCount, r.option)
			r.answered, r.grantedCount = true, len(a.IDs)
			c.completeProvisioning(p, r, a.IDs)
			c.scheduleScaleOut()
		case messages.NotFound:
			p.outOfCapacityUntil[r.option] = c.loop.Now() + c.config.Tuning.OutOfCapacityBackoff<<p.outOfCapacityCount[r.option]
			p.outOfCapacityCount[r.option] = min(p.outOfCapacityCount[r.option]+1, maxCapacityBackoffDoublings)
			r.answered = true
			c.completeProvisioning(p, r, nil)
			c.scheduleScaleOut()
		case messages.Invalid:
			p.outOfCapacityUntil[r.option] = c.loop.Now() + 300*second
			r.answered = true
			c.completeProvisioning(p, r, nil)
		case messages.Throttled:
			c.handleCloudThrottled()
			c.loop.After(second/2, func() { c.callScaleOut(p, r) })
		default:
			c.loop.After(3*second, func() { c.callScaleOut(p, r) })
		}
	})})
}

// completeProvisioning records the machines and forgets the request in one
// transaction, so that no crash between the two can lose a machine.
func (c *Controller) completeProvisioning(p *shard, r *provisioningRequest, ids []cluster.MachineID) {
	claim := p.claimRevision
	id, size := r.groupID, 0
	if id == "" { // of an earlier claim, whose copies this one has fenced
		id = c.nextMachineGroupName(p)
	}
	kind := grouprecord.Kind{Type: r.option.Type, Zone: r.option.Zone, Spot: r.option.Spot}
	ms := make([]grouprecord.Machine, 0, len(ids))
	for _, m := range ids {
		ms = append(ms, grouprecord.Machine{ID: m, Kind: kind, Booting: true})
	}
	keys, prio := []string{provisioningKey(r.name)}, writequeue.Background
	// A refused one gets no machines, but where a copy of its creation may come
	// late its group's key has to be there all the same, with nothing listed.
	made := len(ids) > 0 || r.createInDoubt
	if made {
		keys = append(keys, "groups/"+id)
	}
	if len(ids) > 0 {
		prio = writequeue.ScaleOut
	}
	c.writeQueue.Enqueue(prio, &writequeue.Write{
		ShardID: p.id, Keys: keys,
		Build: func(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
			ops, marks := []messages.TxnOp{{Key: provisioningKey(r.name), Value: nil}}, []cluster.ModRevision{r.modRevision}
			if made {
				v := grouprecord.Encode(grouprecord.Record{ShardID: p.id, Machines: ms, WriteID: nonce})
				size = len(v)
				ops, marks = append(ops, messages.TxnOp{Key: "groups/" + id, Value: v}), append(marks, 0)
			}
			return ops, marks
		},
		OnApplied: func(e cluster.Revision) {
			if !p.owned || p.claimRevision != claim {
				return
			}
			delete(p.provisioningRequests, r.name)
			if len(ms) > 0 {
				c.addRegisteredGroup(p, id, ms, size, e)
			}
		},
		OnConflict: func() {
			// Where only the request is dropped no nonce tells whether an earlier
			// sending was carried out; that the key is gone does.
			c.writeQueue.ReadKey(provisioningKey(r.name), func(g messages.GetReply) {
				switch {
				case !p.owned || p.claimRevision != claim:
				case g.Outcome == messages.NotFound && len(ms) == 0:
					delete(p.provisioningRequests, r.name)
				case g.Outcome == messages.OK || g.Outcome == messages.NotFound:
					c.handleForeignWrite(p, provisioningKey(r.name), "settled by another writer")
				default:
					c.loop.After(second, func() {
						if c.isProvisioningCurrent(p, r) {
							c.completeProvisioning(p, r, ids)
						}
					})
				}
			})
		},
	})
}
