package state

import (
	"slices"
	"sort"
)

// AddOwnedJob adds a job to its shard, whose jobs stay sorted by ID. The queue order of the
// shard has to be recomputed.
func (s *State) AddOwnedJob(job *Job) {
	s.Jobs.Owned[job.Spec.ID] = job
	shard := s.Shards[job.ShardID]
	i := sort.Search(len(shard.Jobs), func(i int) bool { return shard.Jobs[i].Spec.ID >= job.Spec.ID })
	shard.Jobs = slices.Insert(shard.Jobs, i, job)
	shard.QueueOrder = nil
}

// RemoveOwnedJob removes a job from its shard. It replaces the shard's slices instead of
// changing them, as a caller may be ranging over the old ones.
func (s *State) RemoveOwnedJob(job *Job) {
	delete(s.Jobs.Owned, job.Spec.ID)
	shard := s.Shards[job.ShardID]
	i := slices.Index(shard.Jobs, job)
	if i < 0 {
		return
	}
	shard.Jobs = slices.Delete(slices.Clone(shard.Jobs), i, i+1)
	shard.QueueOrder = slices.DeleteFunc(slices.Clone(shard.QueueOrder), func(other *Job) bool { return other == job })
}

// OwnedJobs returns the jobs of all owned shards, sorted by shard and ID.
func (s *State) OwnedJobs() []*Job {
	var jobs []*Job
	for _, shard := range s.Shards {
		jobs = append(jobs, shard.Jobs...)
	}
	return jobs
}
