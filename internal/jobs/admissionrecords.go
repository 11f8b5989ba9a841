package jobs

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// AdmissionKeyPrefix is the prefix of the keys of admission records.
const AdmissionKeyPrefix = "accepts/"

// AdmissionRecords applies the stored admission records, whichever controller wrote
// them, and tracks which jobs they list.
type AdmissionRecords struct {
	*shared

	records         *Records
	firstRevisions  map[cluster.JobID]cluster.ModRevision // of the first admission record that lists the job
	appliedRevision cluster.Revision                      // changes up to this revision are applied
	loaded          bool                                  // all records were read at least once
}

func newAdmissionRecords(common *shared, records *Records) *AdmissionRecords {
	return &AdmissionRecords{
		shared:         common,
		records:        records,
		firstRevisions: map[cluster.JobID]cluster.ModRevision{},
	}
}

// Apply registers the jobs that an admission record lists, and applies the specification
// of each like a job's own record. If the admission record was read to load a shard that
// this controller has acquired, loading is that shard; otherwise it is nil.
func (a *AdmissionRecords) Apply(kv messages.KV, loading *state.Shard) {
	if kv.Value == nil {
		return
	}
	a.markWriterAlive(kv)
	var record AdmissionRecord
	if err := exactjson.Unmarshal(kv.Value, &record); err != nil {
		a.loop.Log(messages.LogError, "cannot decode admission record; ignoring it", "key", kv.Key, "error", err.Error())
		return
	}
	for i := range record.Jobs {
		job := &record.Jobs[i]
		a.add(job.ID, kv.ModRevision)
		jobRecord := Record{Spec: &job.Spec}
		a.records.Apply(messages.KV{Key: state.JobKey(job.ID), Value: jobRecord.encode()}, loading)
	}
}

// ApplyAll applies all admission records as of a revision, and marks the admission
// records as loaded.
func (a *AdmissionRecords) ApplyAll(items []messages.KV, revision cluster.Revision) {
	for _, kv := range items {
		a.Apply(kv, nil)
	}
	a.appliedRevision, a.loaded = revision, true
}

// load reads all admission records, and then follows their changes.
func (a *AdmissionRecords) load() {
	a.writeQueue.ListPrefix(AdmissionKeyPrefix, func(reply messages.ListReply) {
		if reply.Outcome != messages.OK {
			a.loop.After(second, a.load)
			return
		}
		a.ApplyAll(reply.Items, reply.Revision)
		a.writeQueue.Watch(writequeue.PrefixWatch{
			Prefix:      AdmissionKeyPrefix,
			Position:    &a.appliedRevision,
			Delay:       watchDelay,
			OnChange:    func(kv messages.KV) { a.Apply(kv, nil) },
			OnCompacted: a.load,
		})
	})
}

// readChanges applies the changes since the applied revision without waiting for the
// next watch, and calls handle with whether they could be read.
func (a *AdmissionRecords) readChanges(handle func(ok bool)) {
	a.writeQueue.ReadChanges(AdmissionKeyPrefix, a.appliedRevision, func(reply messages.WatchReply) {
		for _, kv := range reply.Items {
			a.Apply(kv, nil)
		}
		handle(reply.Outcome == messages.OK)
	})
}

// lookUp calls handle with whether an admission record lists a job. Unless the job is
// known to be listed, it first reads the changes from the store. ok is false if that
// fails or the initial read has not finished.
func (a *AdmissionRecords) lookUp(id cluster.JobID, handle func(admitted, ok bool)) {
	switch {
	case a.isAdmitted(id):
		handle(true, true)
	case !a.loaded:
		handle(false, false)
	default:
		a.readChanges(func(ok bool) { handle(a.isAdmitted(id), ok) })
	}
}

// isAdmitted reports whether an applied admission record lists a job.
func (a *AdmissionRecords) isAdmitted(id cluster.JobID) bool { return a.firstRevisions[id] > 0 }

// add records that the admission record with the given mod revision lists a job.
func (a *AdmissionRecords) add(id cluster.JobID, revision cluster.ModRevision) {
	if first := a.firstRevisions[id]; first == 0 || revision < first {
		a.firstRevisions[id] = revision
	}
}

// wasAdmittedBefore reports whether an admission record with a mod revision lower than
// the given one lists a job.
func (a *AdmissionRecords) wasAdmittedBefore(id cluster.JobID, revision cluster.ModRevision) bool {
	return a.isAdmitted(id) && a.firstRevisions[id] < revision
}
