package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// historyJobs is what users of biurko-warsaw submit in 15 days: 12.5 jobs a minute.
	historyJobs = 270_000
	// firstHistoryID is above the ids of the jobs that the case submits itself.
	firstHistoryID = 1000
	// A controller has settled once it has held less than this share of its limit of memory,
	// and has used less than settledUse of processor time in each second, for settleTime.
	settled    = 0.95
	settledUse = 80 * time.Millisecond
	settleTime = 5 * time.Second
	settleBy   = 75 // seconds after the start of the case
	caseEnd    = 109 * time.Second
	// quickBoot is the boot time of machines that are up within a second or two.
	quickBoot = 2 * time.Second
)

// crashAfterHistory lets three controllers of biurko-warsaw, with the jobs of 15 days in the
// state service, crash at once and come back, and checks that a job that was accepted before
// still runs.
func crashAfterHistory(record *recorder, trouble bool) verdict {
	p, err := newPlatform(biurko(), record, []fleet{kostka4}, map[string]int{capacityKey(kostka4.Name, "a", false): 3}, time.Second)
	if err != nil {
		return verdict{err: err}
	}
	defer p.close()
	p.cloud.boot = quickBoot
	p.cloud.addUp(kostka4.Name, 3)
	if err := p.growHistory(); err != nil {
		return verdict{err: err}
	}
	go p.enforceMemory()
	accepted := array(2, "occupancy-rollup", "mapy", "normal", 60, 1, 3.4, 5)
	if err := p.submit(accepted, 5*time.Second); err != nil {
		return verdict{err: err}
	}
	if trouble {
		p.crashAll()
	}
	back := record.since()
	for record.since() < caseEnd.Seconds() {
		if p.pollAll(accepted.ID) == "done" {
			return verdict{broken: p.world.violations()}
		}
		time.Sleep(time.Second)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return verdict{broken: append(p.world.violations(), fmt.Sprintf(
		"an accepted job must run: %s, 60 tasks of 5 s on 12 free CPUs, is not done %.0f s after all controllers were back; controllers ended for memory %d times",
		accepted.ID, record.since()-back, p.memoryKills))}
}

// growHistory lets the controllers finish one job, puts copies of its record for 15 days of
// jobs into the state service, and starts the controllers again. The limit of memory does
// not count yet, as the real controllers would have been running all that time.
func (p *platform) growHistory() error {
	if err := p.startAll(20 * time.Second); err != nil {
		return err
	}
	first := array(1, "occupancy-rollup", "mapy", "normal", 1, 1, 3.4, 1)
	if err := p.submit(first, time.Second); err != nil {
		return err
	}
	for p.pollAll(first.ID) != "done" {
		if p.record.since() > 30 {
			return fmt.Errorf("%s is not done", first.ID)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for i := range p.nodes {
		p.kill(i)
	}
	pattern := p.store.get("jobs/" + first.ID)
	p.record.event("history", "jobs", historyJobs, "record", string(pattern))
	history := map[string]json.RawMessage{}
	for i := range historyJobs {
		history[fmt.Sprintf("jobs/j-%06d", firstHistoryID+i)] = pattern
	}
	p.store.seed(history)
	for i := range p.nodes {
		if err := p.startNode(i); err != nil {
			return err
		}
	}
	return p.waitSettled()
}

// waitSettled waits until each controller is healthy, holds less than its limit of memory, and
// has used little processor time for a while, as it has read all that the state service holds.
func (p *platform) waitSettled() error {
	since := time.Now()
	used := make([]time.Duration, len(p.nodes))
	for time.Since(since) < settleTime {
		if p.record.since() > settleBy {
			return fmt.Errorf("the controllers do not settle below %.0f MiB", p.site.memMB)
		}
		time.Sleep(time.Second)
		for i := range p.nodes {
			now := p.processorTime(i)
			if !p.healthy(i) || float64(p.resident(i)) > settled*p.site.memMB || now-used[i] > settledUse {
				since = time.Now()
			}
			p.record.event("settling", "node", p.nodes[i].name, "mib", p.resident(i), "processor_ms", (now - used[i]).Milliseconds())
			used[i] = now
		}
	}
	return nil
}

// processorTime returns the processor time that a controller has used.
func (p *platform) processorTime(i int) time.Duration {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.process(i).command.Process.Pid) + "/stat")
	if err != nil {
		return 0
	}
	const userTime, systemTime, ticksPerSecond = 11, 12, 100
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= systemTime {
		return 0
	}
	user, _ := strconv.Atoi(fields[userTime])
	system, _ := strconv.Atoi(fields[systemTime])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// crashAll ends all controllers at once and starts them again after the time that the brief
// names.
func (p *platform) crashAll() {
	for i := range p.nodes {
		p.kill(i)
	}
	time.Sleep(p.site.restartAfter)
	for i := range p.nodes {
		p.restart(i)
	}
}

// restart starts a controller again. It can only fail at the end of the case.
func (p *platform) restart(i int) {
	if err := p.startNode(i); err != nil {
		p.record.event("start_failed", "node", p.nodes[i].name, "error", err)
	}
}

// pollAll asks all controllers about a job and returns a final status, if one names it.
func (p *platform) pollAll(id string) string {
	final := ""
	for i := range p.nodes {
		if _, view := p.poll(i, id); view.Status == "done" || view.Status == "cancelled" {
			final = view.Status
		}
	}
	return final
}

// enforceMemory ends each controller that holds more than its limit of memory, and starts it
// again after the time that the brief names, until the case ends.
func (p *platform) enforceMemory() {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for i := range p.nodes {
			mib := p.resident(i)
			if float64(mib) <= p.site.memMB {
				continue
			}
			p.record.event("over_memory", "node", p.nodes[i].name, "mib", mib, "limit", p.site.memMB)
			p.kill(i)
			p.mu.Lock()
			p.memoryKills++
			p.mu.Unlock()
			time.AfterFunc(p.site.restartAfter, func() { p.restart(i) })
		}
	}
}

// resident returns the memory that a controller holds, in MiB, or 0 if it is not running.
func (p *platform) resident(i int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.process(i).command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			if fields := strings.Fields(rest); len(fields) > 0 {
				kib, _ := strconv.Atoi(fields[0])
				return kib / 1024
			}
		}
	}
	return 0
}
