package core_test

import (
	"fmt"
	"strconv"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// plan hands in jobs of all kinds and brings troubles about, one at a time.
func plan(w *standin.World, teams []string, until core.Time) {
	planJobs(w, teams, until)
	planSingleTroubles(w, until)
}

// plannedJobs is how many jobs a day has beside its pipelines; the first come
// with the day's beginning.
const (
	plannedJobs   = 45
	jobsAtOnce    = 10
	longJobsEvery = 9
)

// planJobs hands in jobs of all kinds, some of which are cancelled.
func planJobs(w *standin.World, teams []string, until core.Time) {
	for i := range plannedJobs {
		at := w.Between(0, until)
		if i < jobsAtOnce {
			at = w.Between(0, 3*sec)
		}
		run := w.Between(3*sec, 30*sec)
		tasks := 1 + w.Rand.IntN(9)
		if i%longJobsEvery == 4 { // longer than a cancellation may take: what is not stopped then shows
			run, tasks = w.Between(50*sec, 90*sec), 1+w.Rand.IntN(3)
		}
		s := core.JobSpec{ID: core.JobID(fmt.Sprintf("j-%06d", i)), Class: "c" + strconv.Itoa(i%3), Team: teams[w.Rand.IntN(len(teams))],
			Priority: core.Priority(w.Rand.IntN(4)), Tasks: tasks, Need: core.Res{CPU: cpu + core.Amount(w.Rand.IntN(2_000_000)), Mem: 2 * cpu},
			Image: "img-" + strconv.Itoa(w.Rand.IntN(3)), ImageGB: 1, RuntimeS: float64(run) / 1e9 * 0.8, Spot: w.Chance(0.6)}
		info := standin.JobInfo{Need: s.Need, Run: run, Tasks: s.Tasks, Image: s.Image}
		if w.Chance(0.3) {
			s.CheckpntS, s.SaveS, info.Checkpoint, info.Save = 10, 2, true, 2*sec
		}
		switch w.Rand.IntN(8) {
		case 0:
			s.SamePlace = true
		case 1:
			s.Scatter = true
		case 2:
			s.Zone = "b"
		case 3:
			s.Types = []string{"small"}
		}
		j := &standin.Job{Spec: s, Info: info}
		w.After(at, func() { w.Submit(j) })
		if w.Chance(0.2) {
			j.MayCancel = true
			w.After(at+w.Between(0, 30*sec), func() { w.Cancel(j) })
		}
		w.After(w.Between(0, until), func() { w.Unknown(core.JobID(fmt.Sprintf("j-9%05d", w.Rand.IntN(1000)))) })
	}
}

// planPipelines plans chains and fans over the teams: some are cancelled at one
// of their jobs, some have their last job handed in only when the others are over.
func planPipelines(w *standin.World, teams []string, until core.Time) {
	n := 0
	job := func(awaits ...core.JobID) *standin.Job {
		n++
		run := w.Between(2*sec, 12*sec)
		s := core.JobSpec{ID: core.JobID(fmt.Sprintf("j-5%05d", n)), Class: "p" + strconv.Itoa(n%2), Team: teams[w.Rand.IntN(len(teams))],
			Priority: core.Priority(w.Rand.IntN(4)), Tasks: 1 + w.Rand.IntN(4), Need: core.Res{CPU: cpu, Mem: 2 * cpu}, Awaits: awaits,
			Image: "img-" + strconv.Itoa(w.Rand.IntN(3)), ImageGB: 1, RuntimeS: float64(run) / 1e9, DeadlineS: 120, Spot: w.Chance(0.6)}
		return &standin.Job{Spec: s, Info: standin.JobInfo{Need: s.Need, Run: run, Tasks: s.Tasks, Image: s.Image}}
	}
	for range 6 {
		at := w.Between(0, until-60*sec)
		first := job()
		line := []*standin.Job{first}
		var fan []core.JobID
		for range 1 + w.Rand.IntN(3) {
			j := job(first.Spec.ID)
			line, fan = append(line, j), append(fan, j.Spec.ID)
		}
		middle := job(fan...)
		last := job(middle.Spec.ID, first.Spec.ID)
		line = append(line, middle, last)
		late := w.Chance(0.25)
		w.After(at, func() { w.Submit(first) })
		for _, j := range line[1:] {
			w.After(at, func() { w.SubmitAfter(j, late && j == last) })
		}
		if w.Chance(0.5) {
			j := line[w.Rand.IntN(len(line))]
			j.MayCancel = true
			w.After(at+w.Between(0, 40*sec), func() {
				if w.Jobs[j.Spec.ID] != nil {
					w.Cancel(j)
				}
			})
		}
	}
}
