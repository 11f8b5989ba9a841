package inventory

import "stairrelay/internal/state"

// keepRanges lists tasks that need not be listed if they are between tasks that are listed,
// and would otherwise divide a range of tasks. It is used for a record that would be too
// large: a record with one range of many tasks gets much larger if every other task is
// removed. The tasks stay assigned to their machines, and are removed when the tasks beside
// them are. A stored record that kept its ranges fits, because tasks are only added to a
// record that has room for them.
func (s *recordSnapshot) keepRanges() {
	for i := range s.machines {
		s.machines[i].keepRanges()
	}
}

func (s *machineSnapshot) keepRanges() {
	listed := map[*state.Assignment]bool{}
	for _, a := range s.listed {
		listed[a] = true
	}
	s.listed, s.removed, s.completed = nil, nil, nil
	var run []*state.Assignment
	for _, a := range s.machine.SortedAssignments() {
		if len(run) > 0 && !continuesRange(run[len(run)-1], a) {
			s.appendRun(run, listed)
			run = run[:0]
		}
		run = append(run, a)
	}
	s.appendRun(run, listed)
}

// continuesRange reports whether a record can list an assignment in the same range as the
// previous one, and lists it now.
func continuesRange(previous, next *state.Assignment) bool {
	return next.Task.Job == previous.Task.Job &&
		next.Task.Index == previous.Task.Index+1 &&
		next.Attempt == previous.Attempt+1 &&
		!next.RemovedFromRecord && !previous.RemovedFromRecord
}

// appendRun adds the assignments of one range. Those before the first and after the last
// listed one are not listed.
func (s *machineSnapshot) appendRun(run []*state.Assignment, listed map[*state.Assignment]bool) {
	first, last := len(run), -1
	for i, a := range run {
		if listed[a] {
			first, last = min(first, i), i
		}
	}
	for i, a := range run {
		if i > first && i < last {
			s.listed = append(s.listed, a)
		} else {
			s.add(a)
		}
	}
}
