package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { cases["history"] = historyCase }

// anonymousMB returns the memory of a controller that is neither a file's nor shared.
func (w *world) anonymousMB(n *node) float64 {
	w.mu.Lock()
	cmd := n.cmd
	w.mu.Unlock()
	if cmd == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(line, "RssAnon: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// finishedJobs is the number of jobs that were done before: four days at the arrivals of
// kit/next/mvta-tickets-grown (55.4 a minute; 5 controllers with 125 MB each).
const finishedJobs = 320000

// backAfterS is the time after which the platform starts a process again that has ended.
const backAfterS = 6

// historyCase lets one controller crash of a service that has run for some days.
func historyCase(w *world, trouble bool) error {
	if err := w.upAll(8, 3); err != nil {
		return err
	}
	first := newJob(1, w.site.Teams[0].Name, 4, 1)
	if a := w.submit(first); a.Code != 201 {
		return errNotAccepted
	}
	if !w.waitFor(30, func() bool { return w.poll(first, w.pick()).Status == "done" }) {
		return fmt.Errorf("the first job is not done")
	}
	for _, n := range w.nodes {
		w.kill(n)
	}
	w.copyFinished(first)
	for _, n := range w.nodes { // this start replaces the days; the limit is not enforced yet
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	settled := func() bool {
		for _, n := range w.nodes {
			if w.poll(first, n).Status != "done" || w.anonymousMB(n) < 60 || w.anonymousMB(n) > 0.97*w.site.MemMB {
				return false
			}
		}
		return true
	}
	w.sleep(15)
	if !w.waitFor(35, func() bool { w.sleep(0.5); return settled() }) {
		return fmt.Errorf("the controllers do not settle: %s", w.memory())
	}
	w.sleep(2)
	w.logf("platform: from now on a process above %.0f MB is killed and started again; memory: %s", w.site.MemMB, w.memory())
	kills := map[string]int{}
	go w.enforce(kills)
	j := newJob(2, w.site.Teams[1].Name, 2, 15)
	if a := w.submit(j); a.Code != 201 {
		return errNotAccepted
	}
	w.waitFor(10, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(j.starts) == j.Legs })
	if trouble {
		n := w.nodes[1] // it owns the teams of the job
		w.logf("%s crashes", n.name)
		w.kill(n)
		w.sleep(backAfterS)
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	w.waitFor(42, func() bool { w.sleep(2); return w.poll(j, w.pick()).Status == "done" })
	w.logf("memory: %s", w.memory())
	w.mu.Lock()
	defer w.mu.Unlock()
	if j.finalTold != "done" {
		w.breaks("accepted_must_run", "%s was accepted %.0f s ago and has done %d of its %d tasks of 15 s; processes killed for memory: %v", j.ID, time.Since(j.acceptedAt).Seconds(), j.doneTasks, j.Legs, kills)
	}
	return nil
}

// copyFinished adds finished jobs to the state service: copies of the record that the controllers
// wrote for a job that is done.
func (w *world) copyFinished(first *job) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	record := string(s.keys["jobs/"+first.ID].Value)
	for i := range finishedJobs {
		s.epoch++
		s.keys[fmt.Sprintf("jobs/j-%06d", 100+i)] = entry{json.RawMessage(record), s.epoch}
	}
	s.changes = nil // only the last changes are kept
	w.logf("state service: %d finished jobs with the record %s", finishedJobs, record)
}

func (w *world) memory() string {
	var parts []string
	for _, n := range w.nodes {
		parts = append(parts, fmt.Sprintf("%s %.0f MB", n.name, w.anonymousMB(n)))
	}
	return strings.Join(parts, ", ")
}

// enforce is the platform: it kills a process over its limit of memory and starts it again.
func (w *world) enforce(kills map[string]int) {
	for _, n := range w.nodes {
		go func() {
			for {
				select {
				case <-w.stopped:
					return
				case <-time.After(50 * time.Millisecond):
				}
				mb := w.anonymousMB(n)
				if mb <= w.site.MemMB {
					continue
				}
				w.logf("platform: %s holds %.0f MB; killed", n.name, mb)
				w.mu.Lock()
				kills[n.name]++
				w.mu.Unlock()
				w.kill(n)
				select {
				case <-w.stopped:
					return
				case <-time.After(backAfterS * time.Second):
				}
				_ = w.startNode(n)
			}
		}()
	}
}
