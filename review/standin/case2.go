package main

import (
	"errors"
	"fmt"
	"time"
)

// repeatedStart lets a controller of biurko-warsaw crash and a late copy of a direct command
// arrive that a machine had carried out before, and checks that no task starts on a machine
// while it is on another one.
func repeatedStart(record *recorder, trouble bool) verdict {
	p, err := newPlatform(biurko(), record, []fleet{kostka4}, map[string]int{}, time.Second)
	if err != nil {
		return verdict{err: err}
	}
	p.useLinks = true
	defer p.close()
	p.cloud.addUp(kostka4.Name, 1)
	if err := p.startAll(20 * time.Second); err != nil {
		return verdict{err: err}
	}
	moved := array(1, "usage-archive", "mapy", "best_effort", 1, 4, 9.7, 90)
	moved.WaypointS, moved.StowS = 20, 4
	first, err := p.moveTask(moved)
	if err != nil {
		return verdict{err: err}
	}
	if trouble {
		owner := p.world.nodeOf(first)
		p.kill(owner)
		time.Sleep(time.Second)
		if p.links[first].repeat(moved.ID+"/0") == 0 {
			return verdict{err: errors.New("the start of the task was not a direct command")}
		}
		time.Sleep(p.site.restartAfter - time.Second)
		p.restart(owner)
	}
	time.Sleep(8 * time.Second)
	return verdict{broken: p.world.violations()}
}

// moveTask lets a task of a job start on a machine, be stopped there for an urgent job, and
// start on the other machine. It returns the first machine once that has no task any more.
func (p *platform) moveTask(moved submission) (string, error) {
	if err := p.waitAnswered(); err != nil {
		return "", err
	}
	if err := p.submit(moved, 90*time.Second); err != nil {
		return "", err
	}
	first, err := p.waitOn(moved.ID+"/0", "")
	if err != nil {
		return "", err
	}
	p.cloud.addUp(kostka4.Name, 1)
	other := array(2, "occupancy-rollup", "mapy", "normal", 1, 4, 3.4, 15)
	if err := p.submit(other, 15*time.Second); err != nil {
		return "", err
	}
	if _, err := p.waitOn(other.ID+"/0", first); err != nil {
		return "", err
	}
	urgent := array(3, "seatmap-rebuild", "mapy", "urgent", 1, 4, 5, 18)
	if err := p.submit(urgent, 18*time.Second); err != nil {
		return "", err
	}
	if _, err := p.waitOn(moved.ID+"/0", first); err != nil {
		return "", err
	}
	for !p.world.isIdle(first) {
		if p.record.since() > 80 {
			return "", fmt.Errorf("%s is not idle in time", first)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return first, nil
}

// waitAnswered waits until a report of the only machine has just been answered. A task that
// is submitted then is started by a direct command, before the machine's next report.
func (p *platform) waitAnswered() error {
	for p.record.since() < 30 {
		p.world.mu.Lock()
		for _, machine := range p.world.machines {
			if machine.answered > 1 && !machine.changed && time.Since(machine.leaseFrom) < 200*time.Millisecond {
				p.world.mu.Unlock()
				return nil
			}
		}
		p.world.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("no report is answered in time")
}

// waitOn waits until a task is on a machine other than the given one, and returns the machine.
func (p *platform) waitOn(leg, except string) (string, error) {
	for p.record.since() < 70 {
		if on := p.world.machineOf(leg); on != "" && on != except {
			return on, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", fmt.Errorf("%s does not run in time", leg)
}

// machineOf returns the machine that a task is on, or "".
func (w *world) machineOf(leg string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for machine := range w.ledger.on[leg] {
		return machine
	}
	return ""
}

// isIdle reports whether a machine has no task, not even one that has ended.
func (w *world) isIdle(machine string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.machines[machine].legs) == 0
}

// nodeOf returns the controller that answered the last report of a machine.
func (w *world) nodeOf(machine string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[machine].answeredBy
}
