package main

import "time"

func init() { cases["fold"] = foldCase }

// foldCase lets the workers report a field that the protocol does not know.
func foldCase(w *world, trouble bool) error {
	if trouble {
		w.reportAdd = `"recalls":0`
		w.logf(`each report has one more field, "recalls":0`)
	}
	if err := w.upAll(8, 3); err != nil {
		return err
	}
	var jobs []*job
	for i := range 3 {
		j := newJob(i+1, w.site.Teams[i].Name, 4, 3)
		if a := w.submit(j); a.Code != 201 {
			return errNotAccepted
		}
		jobs = append(jobs, j)
	}
	w.waitFor(60, func() bool {
		done := true
		for _, j := range jobs {
			done = w.poll(j, w.pick()).Status == "done" && done
		}
		if !done {
			w.sleep(4)
		}
		return done
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	started := 0
	for _, j := range jobs {
		started += len(j.starts)
	}
	if started == 0 {
		w.breaks("nothing_ran", "no task of %d accepted jobs was started within %.0f s; %d machines were rented", len(jobs), time.Since(jobs[0].acceptedAt).Seconds(), len(w.cloud.machines))
	}
	return nil
}
