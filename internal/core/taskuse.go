package core

import "maps"

// Sums of what tasks take, kept up to date as tasks come and go: placement asks
// for them many times a second, and there may be thousands of tasks.
//
// A task counts while it is live on a machine held here: from when it is listed
// there until a report shows that it has ended or that it is gone.

// teamUse sums what each team's live tasks take on the machines of a part.
type teamUse map[string]Res

// machineUse sums what the live tasks of a machine take.
type machineUse struct {
	tasks int
	res   Res
	teams teamUse // of the machine's part
}

// count takes in a task that has become live.
func (u *machineUse) count(a *assign) {
	if a.counted || !a.live() {
		return
	}
	a.counted = true
	u.tasks++
	u.res = u.res.Plus(a.need)
	u.teams[a.job.spec.Team] = u.teams[a.job.spec.Team].Plus(a.need)
}

// uncount leaves out a task that is not live any more, or whose machine goes.
func (u *machineUse) uncount(a *assign) {
	if !a.counted {
		return
	}
	a.counted = false
	u.tasks--
	u.res = u.res.Minus(a.need)
	u.teams[a.job.spec.Team] = u.teams[a.job.spec.Team].Minus(a.need)
}

// markGone notes that a task is proven not to be on the machine.
func (m *machine) markGone(a *assign) {
	a.gone = true
	m.use.uncount(a)
}

// markEnded notes that a task has ended on the machine.
func (m *machine) markEnded(a *assign, cause Cause) {
	a.phase, a.cause = aEnded, cause
	m.use.uncount(a)
}

// used is what the machine's live tasks take.
func (m *machine) used() Res { return m.use.res }

// liveTasks counts them.
func (m *machine) liveTasks() int { return m.use.tasks }

// teamUse sums what each team's tasks take, wherever they are or may be. The sum
// is the caller's own.
func (c *Core) teamUse(p *part) teamUse { return maps.Clone(p.use) }
