package core

// Preemption: less important work is stopped to make room.

// preemptPause is how long a job waits for the room that was made for it before
// more is made.
const preemptPause = 8 * second

// likeJobs are decided alike.
type likeJobs struct {
	class, team string
	owed        bool // within the team's guarantee
}

// preemption is one look for work that has to give way to a part's waiting jobs.
type preemption struct {
	core     *Core
	owed     map[*job]bool // within their teams' guarantees
	use      teamUse
	machines []*machine // with work that could give way
	vain     map[likeJobs]bool
}

// preempt stops less important tasks that can save when an urgent job found no
// room, and what another team borrows when a team lacks its guarantee. The
// preempting job must rank before its victim: else the room would go to the
// victim again, for ever.
func (c *Core) preempt(p *part, jobs []*job, owed map[*job]bool, use teamUse) {
	e := &preemption{core: c, owed: owed, use: use, machines: c.preemptible(p), vain: map[likeJobs]bool{}}
	if len(e.machines) == 0 {
		return
	}
	for _, j := range jobs {
		like := likeJobs{j.spec.Class, j.spec.Team, owed[j]}
		if j.pending() == 0 || j.prio < Urgent && !owed[j] || c.now < j.preemptAt || e.vain[like] {
			continue
		}
		if !e.preemptFor(j, like) {
			return
		}
	}
}

// preemptible lists a part's machines with work that could give way.
func (c *Core) preemptible(p *part) []*machine {
	var machines []*machine
	c.counters.visiting(p.machines)
	for _, m := range p.machines {
		if c.usable(m) && m.runsSavable() {
			machines = append(machines, m)
		}
	}
	return machines
}

// runsSavable tells whether a task that can save is running on the machine.
func (m *machine) runsSavable() bool {
	for _, a := range m.assigns {
		if a.savable() {
			return true
		}
	}
	return false
}

// savable tells whether a report has shown the task running, and it can save.
func (a *assign) savable() bool {
	return a.phase == aSeen && !a.gone && a.job.spec.CheckpntS > 0
}

// preemptFor makes room for a job; false: its team's limit is reached, and
// nothing more is made now.
func (e *preemption) preemptFor(j *job, like likeJobs) bool {
	c := e.core
	room := c.teams[j.spec.Team].Limit.Minus(e.use[j.spec.Team])
	if room.CPU < j.spec.Need.CPU || room.GPU < j.spec.Need.GPU {
		if j.prio >= Urgent {
			e.preemptOwn(j, room)
		}
		return true
	}
	made := 0
	for _, m := range e.machines {
		if !c.allowedOn(j, m) || j.spec.SamePlace && !onlyZone(c.zonesOf(j), m.zone) {
			continue
		}
		stop, free := e.victims(j, m)
		if !j.spec.Need.Fits(free) {
			continue
		}
		for made < j.pending() && j.spec.Need.Fits(free) {
			room = room.Minus(j.spec.Need)
			if room.CPU < 0 || room.GPU < 0 {
				return false
			}
			free = free.Minus(j.spec.Need)
			made++
		}
		for _, a := range stop {
			c.stopTask(m, a, a.job.spec.SaveS+1)
		}
		if made >= j.pending() {
			break
		}
	}
	if e.vain[like] = made == 0; made > 0 {
		j.preemptAt = c.now + preemptPause
	}
	return true
}

// victims picks the tasks on a machine that have to stop so that a job's task
// fits, and returns what is free then.
func (e *preemption) victims(j *job, m *machine) (stop []*assign, free Res) {
	free = e.core.types[m.typ].Cap.Minus(m.used())
	for _, a := range m.sorted() {
		if j.spec.Need.Fits(free) {
			break
		}
		if !a.savable() || !e.givesWay(a.job, j) {
			continue
		}
		if !a.stop { // else it is on its way out already
			stop = append(stop, a)
		}
		free = free.Plus(a.need)
	}
	return stop, free
}

// givesWay tells whether a job's task may be stopped for another job: for a
// more important urgent one, or, if it is beyond its own team's guarantee, for
// one within its team's.
func (e *preemption) givesWay(victim, j *job) bool {
	if e.core.spared(victim) {
		return false
	}
	if j.prio >= Urgent && victim.prio < j.prio {
		return true
	}
	t := e.core.teams[victim.spec.Team]
	return e.owed[j] && !e.owed[victim] && victim.spec.Team != j.spec.Team &&
		(victim.prio < Urgent || victim.prio <= j.prio) &&
		e.use[t.Name].CPU > t.Guarantee.CPU
}

// preemptOwn makes room under a team's limit: its own less important work that
// can save gives way.
func (e *preemption) preemptOwn(j *job, room Res) {
	c := e.core
	need := Res{CPU: j.spec.Need.CPU * Amount(j.pending()), GPU: j.spec.Need.GPU * Amount(j.pending())}
	for _, m := range e.machines {
		if !c.allowedOn(j, m) {
			continue
		}
		for _, a := range m.sorted() {
			if need.CPU <= room.CPU && need.GPU <= room.GPU {
				return
			}
			if !a.savable() || a.job.spec.Team != j.spec.Team || a.job.prio >= j.prio || c.spared(a.job) {
				continue
			}
			room = room.Plus(a.need)
			if !a.stop {
				c.stopTask(m, a, a.job.spec.SaveS+1)
				j.preemptAt = c.now + preemptPause
			}
		}
	}
}
