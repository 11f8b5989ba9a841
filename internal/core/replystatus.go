package core

// ReplyStatus says what became of a request. The values are those of the
// protocol's HTTP statuses.
type ReplyStatus int

// The statuses of replies.
const (
	ReplyNone        ReplyStatus = 0 // no reply
	ReplyOK          ReplyStatus = 200
	ReplyAccepted    ReplyStatus = 201 // a new job was accepted
	ReplyMalformed   ReplyStatus = 400
	ReplyNoSuchJob   ReplyStatus = 404
	ReplyElsewhere   ReplyStatus = 421 // a worker has to report to another controller
	ReplyNeverRuns   ReplyStatus = 422 // the job can never run
	ReplyTooMany     ReplyStatus = 429 // no more can be taken now
	ReplyUnavailable ReplyStatus = 503 // not decidable now
)
