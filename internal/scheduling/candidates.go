package scheduling

import (
	"cmp"

	"stairrelay/internal/cluster"
)

// ImageState says how soon a machine that lacks or has a job's image can start a
// task of it. It is one byte because candidates are copied while they are sorted.
type ImageState int8

// The image states, the worst first.
const (
	ImageBlocked  ImageState = iota - 1 // it is not there and should not be fetched now
	ImageAbsent                         // it is not there and can be fetched
	ImageFetching                       // it is being fetched
	ImageCached                         // it is there
)

// Two concurrent fetches share the bandwidth of a machine: one after the other lets
// the first task start sooner and the second no later. But a machine that takes many
// tasks would be nearly idle while a few tasks of one job wait for their image.
const (
	// nearlyIdleDivisor: a machine counts as nearly idle while the tasks that wait
	// for images take less than one eighth of its CPUs.
	nearlyIdleDivisor = 8
	// manyTasks is how many tasks of a job a machine must have room for to begin a
	// second fetch while it is nearly idle.
	minTasksForSecondFetch = 16
)

// ImageFetches holds the images that a machine is fetching. The zero value has none.
type ImageFetches struct {
	images     []imageFetch
	waitingCPU cluster.Amount // CPUs of the tasks that wait for an image
}

type imageFetch struct {
	image    string
	priority cluster.Priority // the highest of the tasks that wait for it
}

// Add records that a task of a priority, with its CPUs, waits for an image.
func (f *ImageFetches) Add(image string, priority cluster.Priority, cpu cluster.Amount) {
	f.waitingCPU += cpu
	for i := range f.images {
		if f.images[i].image == image {
			f.images[i].priority = max(f.images[i].priority, priority)
			return
		}
	}
	f.images = append(f.images, imageFetch{image: image, priority: priority})
}

// State returns how soon a machine with machineCPU CPUs, which does not have the
// image, could start a task that needs taskCPU.
func (f *ImageFetches) State(image string, priority cluster.Priority, taskCPU, machineCPU cluster.Amount) ImageState {
	otherHasPrecedence := false // another image is fetched for tasks that are urgent or as important
	for _, fetch := range f.images {
		if fetch.image == image {
			return ImageFetching
		}
		otherHasPrecedence = otherHasPrecedence || fetch.priority >= min(priority, cluster.Urgent)
	}
	takesManyTasks := machineCPU >= minTasksForSecondFetch*taskCPU
	isNearlyIdle := f.waitingCPU*nearlyIdleDivisor < machineCPU
	if otherHasPrecedence && !(takesManyTasks && isNearlyIdle) {
		return ImageBlocked
	}
	return ImageAbsent
}

// Candidate is a machine that the tasks of a job may be assigned to.
type Candidate struct {
	Image           ImageState
	Spot            bool
	PreferredMarket bool // the machine's type suits the job
	FreeCPU         cluster.Amount
}

// Compare returns a negative number when c should get tasks before the other
// candidate: the one with the better image state first, then one of a suitable type,
// then the one with more free CPUs. Where a spot machine is a risk to the job, an
// on-demand machine comes before all of these.
func (c *Candidate) Compare(other *Candidate, spotIsRisky bool) int {
	switch {
	case spotIsRisky && c.Spot != other.Spot:
		return trueFirst(!c.Spot)
	case c.Image != other.Image:
		return cmp.Compare(other.Image, c.Image)
	case c.PreferredMarket != other.PreferredMarket:
		return trueFirst(c.PreferredMarket)
	}
	return cmp.Compare(other.FreeCPU, c.FreeCPU)
}
