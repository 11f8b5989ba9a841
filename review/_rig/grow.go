package main

import (
	"errors"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["grow"] = growCase }

// newControllers is the number of controllers that are added to the first three.
const newControllers = 2

// growCase adds controllers to a running service: two new ones with the new settings first, then
// the others are restarted one after the other with them.
func growCase(w *world, trouble bool) error {
	if err := w.upAll(8, 12); err != nil {
		return err
	}
	var jobs []*job
	for i := range w.site.Teams {
		j := newJob(i+1, w.site.Teams[i].Name, 6, 25)
		if a := w.submit(j); a.Code != 201 {
			return errNotAccepted
		}
		jobs = append(jobs, j)
	}
	running := w.waitFor(25, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, j := range jobs {
			if len(j.starts) < j.Legs {
				return false
			}
		}
		return true
	})
	if !running {
		return errors.New("the tasks do not all start")
	}
	if trouble {
		if err := w.addControllers(); err != nil {
			return err
		}
	}
	w.waitFor(50, func() bool {
		w.sleep(2)
		for _, j := range jobs {
			if w.poll(j, w.pick()).Status != "done" {
				return false
			}
		}
		return true
	})
	return nil
}

// addControllers starts the new controllers and writes the new settings of all. The first three
// are restarted with them later, one after the other.
func (w *world) addControllers() error {
	old := append([]*node(nil), w.nodes...)
	all := append([]*node(nil), old...)
	for range newControllers {
		n, err := w.newNode(len(all))
		if err != nil {
			return err
		}
		all = append(all, n)
	}
	for _, n := range all {
		if err := w.connect(n, all); err != nil {
			return err
		}
	}
	w.mu.Lock()
	w.site.Nodes = len(all)
	w.nodes = all // the workers know the addresses of all
	w.mu.Unlock()
	for _, n := range all {
		n.settings = filepath.Join(w.dir, n.name+"-grown.toml")
		if err := os.WriteFile(n.settings, []byte(w.settings(n)), 0o600); err != nil {
			return err
		}
	}
	w.logf("two controllers are added")
	for _, n := range all[len(old):] {
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	go func() {
		for _, n := range old {
			time.Sleep(15 * time.Second)
			w.kill(n)
			_ = w.startNode(n)
		}
	}()
	return nil
}
