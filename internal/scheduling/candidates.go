package scheduling

import (
	"cmp"

	"stairrelay/internal/cluster"
)

// ImageState is the state of a job's container image on a machine. It is one byte
// because candidates are copied while they are sorted.
type ImageState int8

// The image states, from worst to best.
const (
	ImageBlocked  ImageState = iota - 1 // not cached, and must not be fetched yet
	ImageAbsent                         // not cached, and can be fetched now
	ImageFetching                       // being fetched
	ImageCached                         // in the machine's image cache
)

// Concurrent image fetches share a machine's bandwidth. Fetching one image after the other
// starts the tasks of the first image sooner and those of the second no later. A large
// machine may still fetch a second image while few of its CPUs wait for images.
const (
	// secondFetchDivisor limits the CPUs that wait for images: a second fetch may start if
	// the waiting tasks request less than 1/secondFetchDivisor of the machine's CPUs.
	secondFetchDivisor = 8
	// minTasksForSecondFetch is the number of tasks of a job for which the machine must
	// have enough CPUs when it is empty, so that a second fetch may start.
	minTasksForSecondFetch = 16
)

// ImageFetches holds the images that a machine is fetching and the CPUs of the tasks that
// wait for them. The zero value holds none.
type ImageFetches struct {
	images     []imageFetch
	waitingCPU cluster.Amount // total CPUs of the tasks that wait for an image
}

type imageFetch struct {
	image    string
	priority cluster.Priority // highest priority of the tasks that wait for the image
}

// Add records that a task with the given priority and CPUs waits for an image.
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

// State returns the state of an image that is not cached, for a task with the given
// priority that requests taskCPU, on a machine with machineCPU in total. The result is
// ImageFetching, ImageAbsent or ImageBlocked.
func (f *ImageFetches) State(image string, priority cluster.Priority, taskCPU, machineCPU cluster.Amount) ImageState {
	otherHasPrecedence := false // another image is being fetched for a task of at least this priority, or for an urgent one
	for _, fetch := range f.images {
		if fetch.image == image {
			return ImageFetching
		}
		otherHasPrecedence = otherHasPrecedence || fetch.priority >= min(priority, cluster.Urgent)
	}
	takesManyTasks := machineCPU >= minTasksForSecondFetch*taskCPU
	fewWait := f.waitingCPU*secondFetchDivisor < machineCPU
	if otherHasPrecedence && !(takesManyTasks && fewWait) {
		return ImageBlocked
	}
	return ImageAbsent
}

// Candidate describes a machine that a job's tasks may be assigned to.
type Candidate struct {
	Image           ImageState
	Spot            bool
	PreferredMarket bool // see SpotPreference.IsPreferredMarket
	FreeCPU         cluster.Amount
}

// Compare returns a negative number if c ranks before other, a positive number if it
// ranks after it, and 0 if they are equal. Candidates are ordered by image state, then
// by preferred market, then by free CPUs, most first. If spotIsRisky is set, on-demand
// machines rank before all spot machines.
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
