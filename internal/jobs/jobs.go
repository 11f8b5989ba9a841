// Package jobs manages the jobs of all shards: it admits submissions, stores the
// completed tasks and the final status of the jobs of owned shards, tracks the
// dependencies between jobs, and answers queries and cancellations.
//
// Its components, each with its own state:
//
//   - Submissions evaluates submissions, and admits them or forwards them to another
//     controller. admissionQueue stores admitted submissions in batches.
//   - AdmissionRecords and Records apply the stored records of jobs, whichever
//     controller wrote them. Records also writes the records of the jobs of owned
//     shards.
//   - dependencyGraph derives from the records which jobs are ready to run, and which
//     are cancelled because a job that they depend on was cancelled.
//   - Queries and Cancellations answer users and other controllers.
//   - noticeSender sends the job records that this controller has stored to the owners
//     of the shards concerned.
//
// Invariants:
//
//   - A submission is answered as accepted only after its record is stored.
//   - A request for the ID of an accepted job is never answered with 400, 404 or 422.
//   - A final status that was reported never changes.
//   - A job is not reported as unfinished after its final status was reported. An
//     unfinished status is therefore returned only after the ownership of the job's
//     shard was confirmed, or from a read that began after the request.
package jobs

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/membership"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	millisecond = cluster.Millisecond
	second      = cluster.Second
)

const (
	// shortRetryAfterSeconds is the Retry-After for failures that are likely to be
	// short.
	shortRetryAfterSeconds = 1
	// storeRetryAfterSeconds is the Retry-After while the store is unavailable or the
	// machine types are not known.
	storeRetryAfterSeconds = 2
	// maxRetryAfterSeconds is the longest Retry-After.
	maxRetryAfterSeconds = 30
)

const (
	// watchDelay is the delay between two watch requests for job records. It may be long,
	// because notices between controllers deliver most changes sooner.
	watchDelay = 2 * second
	// maxStoreOutage is how long the store may be unavailable before requests that need
	// it are rejected without being tried.
	maxStoreOutage = second
)

// Config holds the settings that the package uses.
type Config struct {
	Self cluster.NodeID
	// Nodes lists all controllers, sorted.
	Nodes []cluster.NodeID
	// InstanceID is unique to this process.
	InstanceID string
	// MaxValueBytes is the size limit of a record in the store.
	MaxValueBytes int
	// MaxTxnOps is the maximum number of operations in a transaction.
	MaxTxnOps int
	// CheckpointInterval is the interval at which Records.WriteOutcomes is called.
	CheckpointInterval cluster.Time
}

// ShardOwnership confirms and drops the ownership of shards.
type ShardOwnership interface {
	// ConfirmOwnership calls handle with whether this controller still owns the shard,
	// according to a read that begins after the call.
	ConfirmOwnership(shard *state.Shard, handle func(owned bool))
	// DropCorruptShard drops a shard because the record under key is corrupt.
	DropCorruptShard(shard *state.Shard, key, reason string)
}

// TaskStopper stops the tasks of jobs.
type TaskStopper interface {
	// WithdrawUnsentStarts withdraws the starts of a job's tasks that were not sent to
	// a machine yet.
	WithdrawUnsentStarts(job *state.Job)
	// StopAll stops all tasks of a job.
	StopAll(job *state.Job)
	// RemoveAssignment removes an assignment that the stored record of its machine no
	// longer lists.
	RemoveAssignment(machine *state.Machine, assignment *state.Assignment)
}

// Scheduler places tasks on machines and scales out when machines are missing.
type Scheduler interface {
	// RequestScheduling requests a scheduling pass.
	RequestScheduling()
	// RequestScaleOut requests a check of whether more machines are needed.
	RequestScaleOut()
	// RuntimeRatio returns the ratio of the actual to the estimated run time of the jobs
	// of a class.
	RuntimeRatio(class string) float64
}

// Collaborators are the other components of the controller that the package calls.
type Collaborators struct {
	Members   *membership.Members
	Process   *membership.ProcessHealth
	Ownership ShardOwnership
	Tasks     TaskStopper
	Scheduler Scheduler
}

// shared holds what all components of the package use.
type shared struct {
	Collaborators

	loop       *eventloop.Loop
	state      *state.State
	writeQueue *writequeue.Queue
	config     Config
}

// Jobs holds the components of the package that the controller calls.
type Jobs struct {
	Records          *Records
	AdmissionRecords *AdmissionRecords
	Submissions      *Submissions
	Queries          *Queries
	Cancellations    *Cancellations

	shared *shared
}

// New creates and connects the components. They know no job until Load is called.
func New(loop *eventloop.Loop, clusterState *state.State, queue *writequeue.Queue, config Config, collaborators Collaborators) *Jobs {
	common := &shared{Collaborators: collaborators, loop: loop, state: clusterState, writeQueue: queue, config: config}
	notices := newNoticeSender(common)
	records := newRecords(common, notices)
	admissionRecords := newAdmissionRecords(common, records)
	reads := &linearizableReads{shared: common, records: records, admissionRecords: admissionRecords}
	queries := newQueries(common, records, admissionRecords, reads)
	proxy := &submissionProxy{shared: common}
	admissions := &admissionQueue{shared: common, records: records, admissionRecords: admissionRecords, queries: queries, proxy: proxy, notices: notices}
	return &Jobs{
		Records:          records,
		AdmissionRecords: admissionRecords,
		Submissions:      &Submissions{shared: common, queries: queries, proxy: proxy, queue: admissions},
		Queries:          queries,
		Cancellations:    &Cancellations{shared: common, records: records, queries: queries},
		shared:           common,
	}
}

// Configure applies changed settings.
func (j *Jobs) Configure(config Config) { j.shared.config = config }

// Load starts to read the records of all jobs from the store, and then follows
// their changes.
func (j *Jobs) Load() {
	j.Records.load()
	j.AdmissionRecords.load()
}
