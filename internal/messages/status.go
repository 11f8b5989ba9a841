package messages

// ReplyStatus says what became of a request. The values are those of the
// protocol's HTTP statuses.
type ReplyStatus int

// The statuses of replies.
const (
	ReplyNone            ReplyStatus = 0 // no reply
	ReplyOK              ReplyStatus = 200
	ReplyCreated         ReplyStatus = 201 // a new job was accepted
	ReplyBadRequest      ReplyStatus = 400
	ReplyJobNotFound     ReplyStatus = 404
	ReplyMisdirected     ReplyStatus = 421 // a worker has to report to another controller
	ReplyUnschedulable   ReplyStatus = 422 // the job can never run
	ReplyTooManyRequests ReplyStatus = 429 // no more can be taken now
	ReplyUnavailable     ReplyStatus = 503 // not decidable now
)
