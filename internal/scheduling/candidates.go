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

// Concurrent image fetches share a machine's bandwidth, so that fetching in sequence
// starts the first task sooner and the second no later. A large machine may still
// fetch a second image if it would otherwise be nearly idle until the first arrives.
const (
	// nearlyIdleDivisor defines a nearly idle machine: the tasks that wait for images
	// use less than 1/nearlyIdleDivisor of its CPUs.
	nearlyIdleDivisor = 8
	// minTasksForSecondFetch is how many tasks of a job an empty machine must have
	// room for to start a second fetch while it is nearly idle.
	minTasksForSecondFetch = 16
)

// ImageFetches is the set of images that a machine is fetching. The zero value is an
// empty set.
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

// State returns the state of an image that is not cached, for a task that requests
// taskCPU on a machine with machineCPU. The result is ImageFetching, ImageAbsent or
// ImageBlocked.
func (f *ImageFetches) State(image string, priority cluster.Priority, taskCPU, machineCPU cluster.Amount) ImageState {
	otherHasPrecedence := false // another image is being fetched for urgent tasks or tasks of at least this priority
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
