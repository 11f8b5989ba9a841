package main

import (
	"fmt"
	"time"
)

const (
	pingJobs    = 4 // a burst of factor 4
	pingLegs    = 320
	pingCPUs    = 0.05
	pingGB      = 0.4
	pingRun     = 8 * time.Second
	pingSpacing = 25 * time.Second
)

// burstOfSmallTasks lets four arrays of small tasks come at once in mvta-tickets, instead of
// one after the other, and checks that they run and that no answer to a worker has a line
// over 64 KiB.
func burstOfSmallTasks(record *recorder, trouble bool) verdict {
	p, err := newPlatform(mvta(), record, []fleet{depotSmall, garageBig}, map[string]int{}, 2*time.Second)
	if err != nil {
		return verdict{err: err}
	}
	defer p.close()
	p.cloud.addUp(depotSmall.Name, 3)
	p.cloud.addUp(garageBig.Name, 1)
	if err := p.startAll(20 * time.Second); err != nil {
		return verdict{err: err}
	}
	time.Sleep(4 * time.Second)
	var unfinished []string
	for i := range pingJobs {
		crew := []string{"fares-desk-1", "fares-desk-4"}[i%2]
		pings := array(i+1, "kiosk-ping", crew, "normal", pingLegs, pingCPUs, pingGB, pingRun.Seconds())
		if err := p.submit(pings, pingRun); err != nil {
			return verdict{err: err}
		}
		unfinished = append(unfinished, pings.ID)
		if !trouble && i < pingJobs-1 {
			time.Sleep(pingSpacing)
		}
	}
	submitted := record.since()
	for record.since() < caseEnd.Seconds() && len(unfinished) > 0 {
		time.Sleep(time.Second)
		if p.pollAll(unfinished[0]) == "done" {
			unfinished = unfinished[1:]
		}
	}
	broken := append(p.world.violations(), p.world.longLines()...)
	for _, id := range unfinished {
		broken = append(broken, fmt.Sprintf("an accepted job must run: %s, %d tasks of %.2f CPUs and %v, is not done %.0f s after the last submission",
			id, pingLegs, pingCPUs, pingRun, record.since()-submitted))
	}
	return verdict{broken: broken}
}

// longLines returns the breaches of the limit of lines in answers to workers.
func (w *world) longLines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var broken []string
	for _, machine := range w.machines {
		if machine.longestLine > maxLine {
			broken = append(broken, fmt.Sprintf("no answer to workers may have a line over 64 KiB: %s got one of %d bytes; %d of its reports were refused with 400, and it lost its lease %d times",
				machine.machine.ID, machine.longestLine, machine.reportsRefused, machine.shift-1))
		}
	}
	return broken
}
