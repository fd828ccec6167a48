package carobpulley

import (
	"context"
	"time"

	"carobpulley/work"
)

// JobAnswer is the answer to one call of a caller.
type JobAnswer struct {
	Code AnswerCode
	// State is set for AnswerOK.
	State work.State
	// RetryAt is the earliest time at which a retry makes sense, for AnswerRefused
	// and AnswerUnknown.
	RetryAt time.Time
	// Reason is a short explanation for the caller and the log.
	Reason string
}

// AnswerCode is the result of a caller's call.
type AnswerCode int

// Results of a caller's call.
const (
	// AnswerUnknown means that the call may or may not have taken effect.
	AnswerUnknown AnswerCode = iota
	// AnswerOK means that the call took effect and is stored.
	AnswerOK
	// AnswerRefused means that the job is not stored and never runs, or that its
	// state is not available for now.
	AnswerRefused
	// AnswerNotFound means that no such job exists.
	AnswerNotFound
	// AnswerInvalid means that the call can never be served.
	AnswerInvalid
	// AnswerConflict means that another job has the id: the submission is not stored and
	// never runs.
	AnswerConflict
)

// JobService handles the calls of callers.
type JobService interface {
	// Config returns the configuration in force; nil before the first version is read.
	Config() *work.RoutingConfig
	// Submit returns AnswerOK once the job is stored.
	Submit(ctx context.Context, j *work.Job) JobAnswer
	// State returns the stored state of a job.
	State(ctx context.Context, queue, id string) JobAnswer
	// Cancel returns AnswerOK once the cancellation is stored.
	Cancel(ctx context.Context, queue, id string) JobAnswer
	// Pending counts the jobs of a queue for which no task has started.
	Pending(ctx context.Context, queue string) (int, error)
	// Ready reports whether new callers should be routed to this process.
	Ready() bool
	// Draining reports whether callers should reconnect to another process.
	Draining() bool
}

// ConfigChange is a decoded record of the operators' topic.
type ConfigChange struct {
	// Config is a new version of the configuration; nil if the record holds none.
	Config *work.RoutingConfig
	// LeftOut tells which parts of the configuration can't be read and are left out.
	LeftOut []error
	// Domain is a failure domain that is taken out of or put back into service;
	// empty if the record concerns no domain.
	Domain string
	// OutOfService is set if Domain is taken out of service.
	OutOfService bool
}

// ConfigSource locates and decodes the records that operators write.
type ConfigSource interface {
	// Partition is the partition that operators write to.
	Partition() Partition
	// Decode decodes a record. It returns the zero value for an irrelevant record.
	Decode(r KeyedRecord) (ConfigChange, error)
}
