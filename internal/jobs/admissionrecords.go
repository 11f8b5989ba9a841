package jobs

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// AdmissionKeyPrefix is where the records of jobs admitted together are stored.
const AdmissionKeyPrefix = "accepts/"

// AdmissionRecords is what is known of the records that admitted several jobs at
// once, whichever controller wrote them.
//
// The revision kept of a job is that of the first record that admitted it.
type AdmissionRecords struct {
	*shared

	records         *Records
	firstRevisions  map[cluster.JobID]cluster.ModRevision
	appliedRevision cluster.Revision // what was stored until then is known
	loaded          bool             // all records were read at least once
}

func newAdmissionRecords(common *shared, records *Records) *AdmissionRecords {
	return &AdmissionRecords{
		shared:         common,
		records:        records,
		firstRevisions: map[cluster.JobID]cluster.ModRevision{},
	}
}

// Apply takes in an admission record. With loading set, that shard has just been
// acquired, and the record is part of its checkpoint.
func (a *AdmissionRecords) Apply(kv messages.KV, loading *state.Shard) {
	if kv.Value == nil {
		return
	}
	a.recordWriter(kv)
	var record AdmissionRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		a.loop.Log(messages.LogError, "unreadable record", "key", kv.Key, "error", err.Error())
		return
	}
	for i := range record.Jobs {
		job := &record.Jobs[i]
		a.add(job.ID, kv.ModRevision)
		own := Record{Spec: &job.Spec}
		a.records.Apply(messages.KV{Key: state.JobKey(job.ID), Value: own.encode()}, loading)
	}
}

// ApplyAll takes in all admission records as they were at a revision.
func (a *AdmissionRecords) ApplyAll(items []messages.KV, revision cluster.Revision) {
	for _, kv := range items {
		a.Apply(kv, nil)
	}
	a.appliedRevision, a.loaded = revision, true
}

// load reads all admission records, then follows their changes.
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
			Pause:       watchPause,
			OnChange:    func(kv messages.KV) { a.Apply(kv, nil) },
			OnCompacted: a.load,
		})
	})
}

// readChanges reads at once what was stored since the last watch; handle gets whether
// that could be read.
func (a *AdmissionRecords) readChanges(handle func(ok bool)) {
	a.writeQueue.ReadChanges(AdmissionKeyPrefix, a.appliedRevision, func(reply messages.WatchReply) {
		for _, kv := range reply.Items {
			a.Apply(kv, nil)
		}
		handle(reply.Outcome == messages.OK)
	})
}

// lookUp finds out whether an admission record lists a job, as the state service
// shows it now; ok is false when that could not be read.
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

// isAdmitted tells whether an admission record is known to list a job.
func (a *AdmissionRecords) isAdmitted(id cluster.JobID) bool { return a.firstRevisions[id] > 0 }

// add takes in that an admission record with a revision lists a job.
func (a *AdmissionRecords) add(id cluster.JobID, revision cluster.ModRevision) {
	if first := a.firstRevisions[id]; first == 0 || revision < first {
		a.firstRevisions[id] = revision
	}
}

// wasAdmittedBefore tells whether an earlier record than that with a revision
// admitted a job.
func (a *AdmissionRecords) wasAdmittedBefore(id cluster.JobID, revision cluster.ModRevision) bool {
	return a.isAdmitted(id) && a.firstRevisions[id] < revision
}
