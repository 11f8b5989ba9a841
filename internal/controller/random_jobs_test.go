package controller_test

import (
	"fmt"
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

// planJobsAndFaults hands in jobs of all kinds and brings troubles about, one at a time.
func planJobsAndFaults(w *simulation.Simulator, teams []string, until cluster.Time) {
	planJobs(w, teams, until)
	planSingleFaults(w, until)
}

// plannedJobs is how many jobs a day has beside its pipelines; the first come
// with the day's beginning.
const (
	plannedJobCount = 45
	initialJobCount = 10
	longJobInterval = 9
)

// planJobs hands in jobs of all kinds, some of which are cancelled.
func planJobs(w *simulation.Simulator, teams []string, until cluster.Time) {
	for i := range plannedJobCount {
		at := w.RandomBetween(0, until)
		if i < initialJobCount {
			at = w.RandomBetween(0, 3*second)
		}
		run := w.RandomBetween(3*second, 30*second)
		tasks := 1 + w.Rand.IntN(9)
		if i%longJobInterval == 4 { // longer than a cancellation may take: what is not stopped then shows
			run, tasks = w.RandomBetween(50*second, 90*second), 1+w.Rand.IntN(3)
		}
		s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%06d", i)), Class: "c" + strconv.Itoa(i%3), Team: teams[w.Rand.IntN(len(teams))],
			Priority: cluster.Priority(w.Rand.IntN(4)), Tasks: tasks, ResourceRequest: cluster.Resources{CPU: cpu + cluster.Amount(w.Rand.IntN(2_000_000)), Memory: 2 * cpu},
			Image: "img-" + strconv.Itoa(w.Rand.IntN(3)), ImageGB: 1, RuntimeSeconds: float64(run) / 1e9 * 0.8, Spot: w.Chance(0.6)}
		info := simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: run, TaskCount: s.Tasks, Image: s.Image}
		if w.Chance(0.3) {
			s.CheckpointSeconds, s.SaveSeconds, info.CanCheckpoint, info.SaveDuration = 10, 2, true, 2*second
		}
		switch w.Rand.IntN(8) {
		case 0:
			s.Colocate = true
		case 1:
			s.Spread = true
		case 2:
			s.Zone = "b"
		case 3:
			s.MachineTypes = []string{"small"}
		}
		j := &simulation.Job{Spec: s, Info: info}
		w.After(at, func() { w.Users.Submit(j) })
		if w.Chance(0.2) {
			j.CancelPlanned = true
			w.After(at+w.RandomBetween(0, 30*second), func() { w.Users.Cancel(j) })
		}
		w.After(w.RandomBetween(0, until), func() { w.Users.QueryUnknownJob(cluster.JobID(fmt.Sprintf("j-9%05d", w.Rand.IntN(1000)))) })
	}
}

// planPipelines plans chains and fans over the teams: some are cancelled at one
// of their jobs, some have their last job handed in only when the others are over.
func planPipelines(w *simulation.Simulator, teams []string, until cluster.Time) {
	n := 0
	job := func(awaits ...cluster.JobID) *simulation.Job {
		n++
		run := w.RandomBetween(2*second, 12*second)
		s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-5%05d", n)), Class: "p" + strconv.Itoa(n%2), Team: teams[w.Rand.IntN(len(teams))],
			Priority: cluster.Priority(w.Rand.IntN(4)), Tasks: 1 + w.Rand.IntN(4), ResourceRequest: cluster.Resources{CPU: cpu, Memory: 2 * cpu}, Dependencies: awaits,
			Image: "img-" + strconv.Itoa(w.Rand.IntN(3)), ImageGB: 1, RuntimeSeconds: float64(run) / 1e9, DeadlineSeconds: 120, Spot: w.Chance(0.6)}
		return &simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: run, TaskCount: s.Tasks, Image: s.Image}}
	}
	for range 6 {
		at := w.RandomBetween(0, until-60*second)
		first := job()
		line := []*simulation.Job{first}
		var fan []cluster.JobID
		for range 1 + w.Rand.IntN(3) {
			j := job(first.Spec.ID)
			line, fan = append(line, j), append(fan, j.Spec.ID)
		}
		middle := job(fan...)
		last := job(middle.Spec.ID, first.Spec.ID)
		line = append(line, middle, last)
		late := w.Chance(0.25)
		w.After(at, func() { w.Users.Submit(first) })
		for _, j := range line[1:] {
			w.After(at, func() { w.Users.SubmitAfterDependencies(j, late && j == last) })
		}
		if w.Chance(0.5) {
			j := line[w.Rand.IntN(len(line))]
			j.CancelPlanned = true
			w.After(at+w.RandomBetween(0, 40*second), func() {
				if w.Jobs[j.Spec.ID] != nil {
					w.Users.Cancel(j)
				}
			})
		}
	}
}
