package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"

	"stairrelay/internal/inventory"
	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

type provisioningRecord struct {
	Shard   cluster.ShardID `json:"p"`
	Type    string          `json:"f"`
	Zone    string          `json:"y"`
	Spot    bool            `json:"s,omitempty"`
	Count   int             `json:"n"`
	WriteID string          `json:"w"`
}

func provisioningKey(name string) string { return "rentals/" + name }

func (c *Controller) applyProvisioningRecord(kv messages.KV, p *state.Shard) {
	var rec provisioningRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		c.ownership.GiveUpCorrupt(p, kv.Key, "rental record")
		return
	}
	if rec.Shard != p.ID {
		return
	}
	name := strings.TrimPrefix(kv.Key, "rentals/")
	r := &state.ProvisioningRequest{Name: name, Option: state.ProvisioningOption{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}, Count: rec.Count, ModRevision: kv.ModRevision}
	p.ProvisioningRequests[name] = r
	c.callScaleOut(p, r)
}

// pendingWork is what a part's waiting tasks need beyond what it has.
type pendingWork struct {
	job      *state.Job
	tasks    int
	starving bool // a starving job's next task
}

// listPendingWork lists the waiting tasks that team limits would let run at once.
func (c *Controller) listPendingWork(p *state.Shard) []pendingWork {
	use := p.UsageByTeam()
	var l []pendingWork
	jobs, _ := c.queuedJobs(p)
	// A starving job's next task comes first here as it does when tasks are
	// placed: else no machine of the kind it needs would ever be rented.
	first := map[*state.Job]int{}
	for _, j := range jobs {
		if c.isStarving(j) {
			first[j] = 1
			use[j.Spec.Team] = use[j.Spec.Team].Plus(j.Spec.ResourceRequest)
			l = append(l, pendingWork{j, 1, true})
		}
	}
	for _, j := range jobs {
		need := j.Spec.ResourceRequest
		n := min(j.PendingCount()-first[j], c.state.Teams[j.Spec.Team].QuotaLimit.Minus(use[j.Spec.Team]).FitCount(cluster.Resources{CPU: need.CPU, GPU: need.GPU}))
		if n <= 0 {
			continue
		}
		use[j.Spec.Team] = use[j.Spec.Team].Plus(need.Times(n))
		l = append(l, pendingWork{job: j, tasks: n})
	}
	return l
}

// packWork takes from the waiting work what would fit into room.
func (c *Controller) packWork(work []pendingWork, room cluster.Resources, ok func(*state.Job) bool) int {
	took := 0
	for i := range work {
		w := &work[i]
		if w.tasks <= 0 || !w.job.Spec.ResourceRequest.FitsIn(room) || !ok(w.job) {
			continue
		}
		n := min(w.tasks, room.FitCount(w.job.Spec.ResourceRequest))
		room = room.Minus(w.job.Spec.ResourceRequest.Times(n))
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
	c.provisioner.List.Poll()
	c.cordonSurplusMachines()
	for _, p := range c.state.Shards {
		if p.Owned && p.Ready && len(c.state.MachineTypes) > 0 && !c.writeQueue.IsUnavailableFor(second) {
			c.scaleOutShard(p)
		}
	}
}

func (c *Controller) scaleOutShard(p *state.Shard) {
	work := c.listPendingWork(p)
	if len(work) == 0 {
		return
	}
	// What the usable machines have free is about to be used.
	slots, _ := c.listFreeCapacity(p, 1)
	for i := range slots {
		s := &slots[i]
		c.packWork(work, s.available, func(j *state.Job) bool { return c.isAllowedOn(j, s.machine) && c.canUseMachine(j, s.machine) })
	}
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if !m.Booting && !m.TokenAcknowledged && !m.Releasing && c.loop.Now()-m.OwnedSince < 5*second {
			c.packWork(work, c.state.MachineTypes[m.MachineType].Capacity.Minus(m.UsedResources()), func(j *state.Job) bool { return c.isAllowedOn(j, m) })
		}
	}
	// Another part's idle machine serves at once, a booting one much later.
	c.acceptOffers(p, work)
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if m.Releasing || m.Draining || c.isSchedulable(m) {
			continue
		}
		if m.Booting {
			c.packWork(work, c.state.MachineTypes[m.MachineType].Capacity.Minus(m.UsedResources()), func(j *state.Job) bool { return c.isAllowedOn(j, m) })
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.ProvisioningRequests)) {
		r := p.ProvisioningRequests[name]
		n := r.Count
		if r.Answered {
			n = r.GrantedCount
		}
		for range n {
			c.packWork(work, c.state.MachineTypes[r.Option.Type].Capacity, func(j *state.Job) bool { return c.isOptionAllowed(j, r.Option) })
		}
	}
	if c.canScaleOut(p) {
		c.requestMachines(p, work)
	}
}

func (c *Controller) isOptionAllowed(j *state.Job, o state.ProvisioningOption) bool {
	if j.Spec.Colocate && !isOnlyZone(c.countTasksByZone(j), o.Zone) {
		return false
	}
	return (j.Spec.Spot || !o.Spot) && j.Spec.AllowsMachineType(c.state.MachineTypes[o.Type], o.Zone)
}

// idleMachines lists the machines of a part that another may take.
func (c *Controller) idleMachines(p *state.Shard) []*state.Machine {
	var l []*state.Machine
	if !p.Owned || !p.Ready {
		return nil
	}
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if c.isSchedulable(m) && len(m.Assignments) == 0 && m.RecordedTaskCount == 0 && !m.Group.WriteInFlight && m.Group.Offer == nil && m.Address != "" &&
			len(m.UnrecordedToStop) == 0 && c.loop.Now()-m.IdleSince > second/2 {
			l = append(l, m)
		}
	}
	return l
}

// requestMachines asks the cloud, cheapest per task first.
func (c *Controller) requestMachines(p *state.Shard, work []pendingWork) {
	flying := 0
	for _, r := range p.ProvisioningRequests {
		if !r.Answered {
			flying++
		}
	}
	for flying < 4 {
		var first *state.Job
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
		if len(opts) > 0 && first.Spec.Spot && !opts[0].Spot && !c.isOnDemandWorthwhile(p, work, opts[0]) {
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
		for n < min(50, c.inventory.TargetGroupSize()) {
			if c.packWork(work, c.state.MachineTypes[o.Type].Capacity, func(j *state.Job) bool { return c.isOptionAllowed(j, o) }) == 0 {
				break
			}
			n++
		}
		if n == 0 {
			return
		}
		if !c.provisioner.Rate.TryCall() {
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
func (c *Controller) isOnDemandWorthwhile(p *state.Shard, work []pendingWork, o state.ProvisioningOption) bool {
	t := c.state.MachineTypes[o.Type]
	if t.OnDemandPrice < 1.5*t.SpotPrice {
		return true
	}
	// A part with few machines gets its share of the others' as they empty.
	var mine, all cluster.Amount
	loads := c.allShardLoads()
	for q, l := range loads {
		all += l.Available + l.Booting
		if q == p.ID {
			mine = l.Available + l.Booting
		}
	}
	have := float64(max(mine, all/cluster.Amount(max(len(loads), 1)))) / 1e6
	rest := 0.0
	for _, w := range work {
		rest += float64(w.tasks) * float64(w.job.Spec.ResourceRequest.CPU) / 1e6 * c.expectedRunSeconds(w.job)
	}
	return rest > have*t.BootSeconds
}

func (c *Controller) optionsByCost(p *state.Shard, j *state.Job) []state.ProvisioningOption {
	type priced struct {
		o    state.ProvisioningOption
		cost float64
	}
	var l []priced
	for _, name := range slices.Sorted(maps.Keys(c.state.MachineTypes)) {
		t := c.state.MachineTypes[name]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := state.ProvisioningOption{Type: name, Zone: z, Spot: spot}
				if !c.isOptionAllowed(j, o) || c.loop.Now() < p.OutOfCapacityUntil[o] {
					continue
				}
				l = append(l, priced{o, t.HourlyPrice(spot) / float64(tasksPerMachine(t.Capacity, j.Spec.ResourceRequest))})
			}
		}
	}
	sort.SliceStable(l, func(a, b int) bool { return l[a].cost < l[b].cost })
	out := make([]state.ProvisioningOption, len(l))
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

func (c *Controller) createProvisioningRequest(p *state.Shard, o state.ProvisioningOption, n int) {
	r := &state.ProvisioningRequest{Name: c.recordNames.NextProvisioningRequest(p), Option: o, Count: n, GroupID: c.recordNames.NextGroup(p)}
	p.ProvisioningRequests[r.Name] = r
	x := &writequeue.Write{
		ShardID: p.ID, Keys: []string{provisioningKey(r.Name)},
		Build: func(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
			v, _ := json.Marshal(provisioningRecord{p.ID, o.Type, o.Zone, o.Spot, n, nonce})
			return []messages.TxnOp{{Key: provisioningKey(r.Name), Value: v}}, []cluster.ModRevision{0}
		},
		// Once it is settled its key is absent again, and a late copy of this would
		// bring it back; a successor would then record its machines a second time.
		// The key of its machines' group stays until the next claim fences the copy.
		ExtraCompares: []messages.Compare{{Key: "groups/" + r.GroupID, ModRevision: 0}},
		OnConflict:    func() { c.ownership.HandleForeignWrite(p, provisioningKey(r.Name), "name in use") },
	}
	x.OnApplied = func(e cluster.Revision) {
		r.ModRevision, r.CreateInDoubt = cluster.ModRevision(e), x.InDoubt
		c.callScaleOut(p, r)
	}
	c.writeQueue.Enqueue(writequeue.ScaleOut, x)
}

func (c *Controller) isProvisioningCurrent(p *state.Shard, r *state.ProvisioningRequest) bool {
	return p.Owned && p.ProvisioningRequests[r.Name] == r
}

func (c *Controller) callScaleOut(p *state.Shard, r *state.ProvisioningRequest) {
	if !c.isProvisioningCurrent(p, r) || r.Answered {
		return
	}
	if r.Attempts++; r.Attempts > 1 { // the first was counted when it was decided
		c.provisioner.Rate.ForceCall()
	}
	c.loop.Emit(messages.CloudScaleOut{Name: r.Name, Type: r.Option.Type, Zone: r.Option.Zone, Spot: r.Option.Spot, Count: r.Count, Call: eventloop.Call(c.loop, func(a messages.ScaleOutReply) {
		if !c.isProvisioningCurrent(p, r) {
			return
		}
		switch a.Outcome {
		case messages.OK:
			c.loop.Log(messages.LogDebug, "rented", "part", int(p.ID), "type", r.Option.Type, "zone", r.Option.Zone, "spot", r.Option.Spot, "asked", r.Count, "got", len(a.IDs))
			if len(a.IDs) < r.Count {
				p.OutOfCapacityUntil[r.Option] = c.loop.Now() + c.config.Tuning.OutOfCapacityBackoff
			}
			delete(p.OutOfCapacityCount, r.Option)
			r.Answered, r.GrantedCount = true, len(a.IDs)
			c.completeProvisioning(p, r, a.IDs)
			c.scheduleScaleOut()
		case messages.NotFound:
			p.OutOfCapacityUntil[r.Option] = c.loop.Now() + c.config.Tuning.OutOfCapacityBackoff<<p.OutOfCapacityCount[r.Option]
			p.OutOfCapacityCount[r.Option] = min(p.OutOfCapacityCount[r.Option]+1, maxCapacityBackoffDoublings)
			r.Answered = true
			c.completeProvisioning(p, r, nil)
			c.scheduleScaleOut()
		case messages.Invalid:
			p.OutOfCapacityUntil[r.Option] = c.loop.Now() + 300*second
			r.Answered = true
			c.completeProvisioning(p, r, nil)
		case messages.Throttled:
			c.provisioner.Rate.HandleThrottled()
			c.loop.After(second/2, func() { c.callScaleOut(p, r) })
		default:
			c.loop.After(3*second, func() { c.callScaleOut(p, r) })
		}
	})})
}

// completeProvisioning records the machines and forgets the request in one
// transaction, so that no crash between the two can lose a machine.
func (c *Controller) completeProvisioning(p *state.Shard, r *state.ProvisioningRequest, ids []cluster.MachineID) {
	claim := p.ClaimRevision
	id := r.GroupID
	if id == "" { // of an earlier claim, whose copies this one has fenced
		id = c.recordNames.NextGroup(p)
	}
	kind := grouprecord.Kind{Type: r.Option.Type, Zone: r.Option.Zone, Spot: r.Option.Spot}
	ms := make([]grouprecord.Machine, 0, len(ids))
	for _, m := range ids {
		ms = append(ms, grouprecord.Machine{ID: m, Kind: kind, Booting: true})
	}
	group := &inventory.NewGroup{ID: id, Shard: p, Machines: ms}
	keys, prio := []string{provisioningKey(r.Name)}, writequeue.Background
	// A refused one gets no machines, but where a copy of its creation may come
	// late its group's key has to be there all the same, with nothing listed.
	made := len(ids) > 0 || r.CreateInDoubt
	if made {
		keys = append(keys, state.GroupKey(id))
	}
	if len(ids) > 0 {
		prio = writequeue.ScaleOut
	}
	c.writeQueue.Enqueue(prio, &writequeue.Write{
		ShardID: p.ID, Keys: keys,
		Build: func(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
			ops, marks := []messages.TxnOp{{Key: provisioningKey(r.Name), Value: nil}}, []cluster.ModRevision{r.ModRevision}
			if made {
				operation, modRevision := group.Operation(nonce)
				ops, marks = append(ops, operation), append(marks, modRevision)
			}
			return ops, marks
		},
		OnApplied: func(e cluster.Revision) {
			if !p.Owned || p.ClaimRevision != claim {
				return
			}
			delete(p.ProvisioningRequests, r.Name)
			if len(ms) > 0 {
				c.inventory.AddNewGroup(group, e)
			}
		},
		OnConflict: func() {
			// Where only the request is dropped no nonce tells whether an earlier
			// sending was carried out; that the key is gone does.
			c.writeQueue.ReadKey(provisioningKey(r.Name), func(g messages.GetReply) {
				switch {
				case !p.Owned || p.ClaimRevision != claim:
				case g.Outcome == messages.NotFound && len(ms) == 0:
					delete(p.ProvisioningRequests, r.Name)
				case g.Outcome == messages.OK || g.Outcome == messages.NotFound:
					c.ownership.HandleForeignWrite(p, provisioningKey(r.Name), "settled by another writer")
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
