// Package jobs keeps the jobs of all shards: it admits what users submit, stores
// what becomes of the owned shards' jobs, follows the dependencies between jobs, and
// answers queries and cancellations.
//
// Its parts, each with the state that it needs alone:
//
//   - Submissions judges submissions, and admits them or passes them to another
//     controller; admissionQueue stores several of them by one record.
//   - AdmissionRecords and Records take in what is stored of jobs, whoever wrote it;
//     Records also writes the outcomes and ends of the owned shards' jobs.
//   - dependencyGraph derives from the records which jobs are ready, and which are
//     cancelled with one that they depend on.
//   - Queries and Cancellations answer users and other controllers.
//   - notices tells the owners of shards of jobs that this controller has stored.
//
// Invariants: a submission is answered as accepted only after its record is stored;
// an accepted id is never answered with 400, 404 or 422 afterwards; a final status
// that was told to anybody never changes; nobody is told that a job is unfinished
// after anybody was told its end. So the answer for an unfinished job needs either a
// confirmed ownership of its shard or a read begun after the question.
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
	// shortRetryAfterSeconds is how many seconds a user waits whose request may
	// succeed at once.
	shortRetryAfterSeconds = 1
	// storeRetryAfterSeconds is how many seconds a user waits when this controller
	// lacks the state service or the machine types.
	storeRetryAfterSeconds = 2
	// maxRetryAfterSeconds is the longest that a user is told to wait.
	maxRetryAfterSeconds = 30
)

const (
	// watchPause is the pause between two watches of the jobs' records. They are
	// the safety net under the messages between controllers, so it may be long.
	watchPause = 2 * second
	// storeTimeout is how long the state service may not have served this
	// controller before requests that need it are refused at once.
	storeTimeout = second
)

// Config is what the package knows from the settings.
type Config struct {
	Self cluster.NodeID
	// Nodes are all controllers, sorted.
	Nodes []cluster.NodeID
	// InstanceID is unique to this process.
	InstanceID string
	// MaxValueBytes is the largest record that the state service takes.
	MaxValueBytes int
	// MaxTxnOps is the largest number of changes in a transaction.
	MaxTxnOps int
	// CheckpointInterval is the time between two looks for outcomes to store.
	CheckpointInterval cluster.Time
}

// ShardOwnership confirms and gives up the ownership of shards.
type ShardOwnership interface {
	// Confirm finds out with a read begun after the call whether this controller
	// still owns a shard.
	ConfirmOwnership(shard *state.Shard, handle func(owned bool))
	// GiveUpCorrupt gives up a shard after a record that makes no sense.
	DropCorruptShard(shard *state.Shard, key, reason string)
}

// TaskStopper ends what a job has on machines.
type TaskStopper interface {
	// WithdrawUnsentStarts takes back the starts that no machine has been sent.
	WithdrawUnsentStarts(job *state.Job)
	// StopAll stops all tasks of a job.
	StopAll(job *state.Job)
	// RemoveAssignment removes an assignment that its machine's stored record does
	// not list any more.
	RemoveAssignment(machine *state.Machine, assignment *state.Assignment)
}

// Scheduler starts tasks and looks for machines for them.
type Scheduler interface {
	// RequestScheduling has tasks scheduled soon.
	RequestScheduling()
	// RequestScaleOut has the need for machines worked out soon.
	RequestScaleOut()
	// RuntimeRatio is how long tasks of a class run, over their estimates.
	RuntimeRatio(class string) float64
}

// Collaborators are the other parts of the controller that the package calls.
type Collaborators struct {
	Members   *membership.Members
	Process   *membership.ProcessHealth
	Ownership ShardOwnership
	Tasks     TaskStopper
	Scheduler Scheduler
}

// shared is what all parts of the package use.
type shared struct {
	Collaborators

	loop       *eventloop.Loop
	state      *state.State
	writeQueue *writequeue.Queue
	config     Config
}

// Jobs are the parts of the package that the controller calls.
type Jobs struct {
	Records          *Records
	AdmissionRecords *AdmissionRecords
	Submissions      *Submissions
	Queries          *Queries
	Cancellations    *Cancellations

	shared *shared
}

// New makes the parts and connects them. Nothing is known of any job yet.
func New(loop *eventloop.Loop, shards *state.State, queue *writequeue.Queue, config Config, collaborators Collaborators) *Jobs {
	common := &shared{Collaborators: collaborators, loop: loop, state: shards, writeQueue: queue, config: config}
	sender := newNotices(common)
	records := newRecords(common, sender)
	admissionRecords := newAdmissionRecords(common, records)
	reads := &linearizableReads{shared: common, records: records, admissionRecords: admissionRecords}
	queries := newQueries(common, records, admissionRecords, reads)
	proxy := &submissionProxy{shared: common}
	admissions := &admissionQueue{shared: common, records: records, admissionRecords: admissionRecords, queries: queries, proxy: proxy, notices: sender}
	return &Jobs{
		Records:          records,
		AdmissionRecords: admissionRecords,
		Submissions:      &Submissions{shared: common, queries: queries, proxy: proxy, queue: admissions},
		Queries:          queries,
		Cancellations:    &Cancellations{shared: common, records: records, queries: queries},
		shared:           common,
	}
}

// Configure takes over settings that have changed.
func (j *Jobs) Configure(config Config) { j.shared.config = config }

// Load reads all jobs from the state service, and follows their changes then.
func (j *Jobs) Load() {
	j.Records.load()
	j.AdmissionRecords.load()
}
