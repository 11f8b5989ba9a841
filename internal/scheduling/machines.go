package scheduling

import (
	"cmp"

	"stairrelay/internal/cluster"
)

// ImageState says how soon a machine can start a job for its image. It is small
// since candidates are copied while they are sorted.
type ImageState int8

// The states, the worst first.
const (
	ImageBlocked  ImageState = iota - 1 // it should not be fetched now
	ImageAbsent                         // it would have to be fetched
	ImageFetching                       // it is being fetched
	ImageCached
)

// Two fetches share a machine's rate: one after the other lets the first start
// sooner and the second no later. But a machine that takes many tasks would
// stand nearly idle while a few of one job wait for their image.
const (
	// busyFraction: a second fetch may begin while the tasks that wait for
	// theirs take less than one part in this many of the machine.
	busyFraction = 8
	// manyTasks is how many tasks of the job a machine must take for that.
	manyTasks = 16
)

// ImageFetches are the images that a machine is getting.
type ImageFetches struct {
	images     []imageFetch
	waitingCPU cluster.Amount // CPUs of the tasks that wait for them
}

type imageFetch struct {
	image    string
	priority cluster.Priority // the highest of those that wait for it
}

// Add notes that a task waits for an image.
func (f *ImageFetches) Add(image string, priority cluster.Priority, cpu cluster.Amount) {
	f.waitingCPU += cpu
	for i := range f.images {
		if f.images[i].image == image {
			f.images[i].priority = max(f.images[i].priority, priority)
			return
		}
	}
	f.images = append(f.images, imageFetch{image, priority})
}

// State returns how soon a machine of a size that doesn't have the image could
// start a task of a job.
func (f *ImageFetches) State(image string, priority cluster.Priority, cpu, size cluster.Amount) ImageState {
	important := false // something that waits is as important, or urgent
	for _, other := range f.images {
		if other.image == image {
			return ImageFetching
		}
		important = important || other.priority >= min(priority, cluster.Urgent)
	}
	takesMany := size >= manyTasks*cpu
	nearlyIdle := f.waitingCPU*busyFraction < size
	if important && !(takesMany && nearlyIdle) {
		return ImageBlocked
	}
	return ImageAbsent
}

// Candidate is a machine that a job's tasks may go to.
type Candidate struct {
	Image    ImageState
	Spot     bool
	Suitable bool // its kind suits the job
	FreeCPU  cluster.Amount
}

// Compare is negative when c should get tasks before another candidate: the one
// that has the image, then one of a kind that suits, then the one with more
// room. Where a spot machine is a risk to the job, ordinary ones go first.
func (c *Candidate) Compare(other *Candidate, spotIsRisk bool) int {
	switch {
	case spotIsRisk && c.Spot != other.Spot:
		return trueFirst(!c.Spot)
	case c.Image != other.Image:
		return cmp.Compare(other.Image, c.Image)
	case c.Suitable != other.Suitable:
		return trueFirst(c.Suitable)
	}
	return cmp.Compare(other.FreeCPU, c.FreeCPU)
}
