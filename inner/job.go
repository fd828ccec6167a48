package inner

import (
	"math"
	"time"

	"carobpulley"
	"carobpulley/wire"
)

// Submission is a job that is forwarded to the owner of its shard.
type Submission struct {
	Spec carobpulley.JobSpec
	// Wait delays the answer until the job has ended.
	Wait bool
	// Receiver is the entry that received the job from its caller and holds a copy
	// of the claim; empty if no entry holds one.
	Receiver string
	// Epoch is the newest epoch of the shard that the receiver has seen.
	Epoch uint64
}

// Lookup requests the state of a job.
type Lookup struct {
	ID carobpulley.JobID
	// Wait delays the answer until the job has ended.
	Wait bool
}

// JobReply is the state of a job as its owner returns it.
type JobReply struct {
	Answer carobpulley.Answer
	// Owner is the entry that owns the shard.
	Owner string
	// Deadline is the deadline of the job; zero if the reply contains none.
	Deadline time.Time
}

// SpecToWire converts the body of a submission to its wire type.
func SpecToWire(s carobpulley.JobSpec) *wire.JobSpec {
	return &wire.JobSpec{
		Id:       idToWire(s.ID),
		Service:  s.Service,
		Payloads: s.Payloads,
		Deadline: timeToWire(s.Deadline),
	}
}

// SpecFromWire converts the body of a submission from its wire type and checks it:
// it must have 1 to MaxTasks payloads, each of at most MaxPayloadBytes and together
// of at most MaxBodyBytes.
func SpecFromWire(s *wire.JobSpec) (carobpulley.JobSpec, error) {
	c := validator{op: "job spec"}
	out := c.spec(s)
	return out, c.result()
}

func (c *validator) spec(s *wire.JobSpec) carobpulley.JobSpec {
	out := c.specWithoutTaskCheck(s)
	if len(out.Payloads) == 0 {
		c.failf("no tasks, want 1 to %d", carobpulley.MaxTasks)
	}
	return out
}

// specWithoutTaskCheck checks the body of a submission like spec, but permits one
// without tasks.
func (c *validator) specWithoutTaskCheck(s *wire.JobSpec) carobpulley.JobSpec {
	out := carobpulley.JobSpec{
		ID:       c.id(s.GetId()),
		Service:  c.name("service", s.GetService()),
		Payloads: s.GetPayloads(),
		Deadline: c.time("deadline", s.GetDeadline()),
	}
	if n := len(out.Payloads); n > carobpulley.MaxTasks {
		c.failf("%d tasks, want 1 to %d", n, carobpulley.MaxTasks)
	}
	total := 0
	for _, p := range out.Payloads {
		c.bytes("payload", p, carobpulley.MaxPayloadBytes)
		total += len(p)
	}
	if total > carobpulley.MaxBodyBytes {
		c.failf("payloads have %d bytes, the limit is %d", total, carobpulley.MaxBodyBytes)
	}
	return out
}

// SubmissionToWire converts a submission to its wire type.
func SubmissionToWire(s Submission) *wire.SubmitRequest {
	return &wire.SubmitRequest{Spec: SpecToWire(s.Spec), Wait: s.Wait, Receiver: s.Receiver, Epoch: s.Epoch}
}

// SubmissionFromWire converts a submission from its wire type and checks it.
func SubmissionFromWire(r *wire.SubmitRequest) (Submission, error) {
	c := validator{op: "submit request"}
	out := Submission{
		Spec:     c.spec(r.GetSpec()),
		Wait:     r.GetWait(),
		Receiver: c.text("receiver", r.GetReceiver(), 0, MaxNameBytes),
		Epoch:    r.GetEpoch(),
	}
	return out, c.result()
}

// LookupToWire converts a lookup to its wire type.
func LookupToWire(l Lookup) *wire.LookupRequest {
	return &wire.LookupRequest{Id: idToWire(l.ID), Wait: l.Wait}
}

// LookupFromWire converts a lookup from its wire type and checks it.
func LookupFromWire(r *wire.LookupRequest) (Lookup, error) {
	c := validator{op: "lookup request"}
	out := Lookup{ID: c.id(r.GetId()), Wait: r.GetWait()}
	return out, c.result()
}

// CancelToWire converts the id of a job to be cancelled to a cancel request.
func CancelToWire(id carobpulley.JobID) *wire.CancelRequest {
	return &wire.CancelRequest{Id: idToWire(id)}
}

// CancelFromWire returns the id of the job to be cancelled and checks it.
func CancelFromWire(r *wire.CancelRequest) (carobpulley.JobID, error) {
	c := validator{op: "cancel request"}
	id := c.id(r.GetId())
	return id, c.result()
}

// JobReplyToWire converts the state of a job to its wire type. Results are included
// only in a complete answer.
func JobReplyToWire(r JobReply) *wire.JobReply {
	out := jobStateToWire(r)
	if r.Answer.Outcome == carobpulley.OutcomeComplete {
		return out
	}
	for _, t := range out.Tasks {
		t.Result = nil
	}
	return out
}

// jobStateToWire converts the state of a job to its wire type, with all results.
func jobStateToWire(r JobReply) *wire.JobReply {
	out := &wire.JobReply{
		Outcome:   string(r.Answer.Outcome),
		Tasks:     make([]*wire.TaskState, 0, len(r.Answer.Tasks)),
		Owner:     r.Owner,
		Service:   r.Answer.Service,
		Deadline:  timeToWire(r.Deadline),
		Cancelled: r.Answer.Cancelled,
	}
	if r.Answer.Err != nil {
		out.Refusal = RefusalToWire(r.Answer.Err)
	}
	for _, t := range r.Answer.Tasks {
		out.Tasks = append(out.Tasks, taskToWire(t))
	}
	return out
}

// RefusedJobReply returns the reply of an entry that has no state of the job, for
// example because it does not own the shard. owner may be empty.
func RefusedJobReply(err error, owner string) *wire.JobReply {
	return &wire.JobReply{Refusal: RefusalToWire(err), Owner: owner}
}

// JobReplyFromWire converts the state of the job with the given id from its wire type
// and checks it. A reply without an outcome is a refusal: the error is then its
// *carobpulley.Error, and Owner is set in the returned reply.
func JobReplyFromWire(id carobpulley.JobID, r *wire.JobReply) (JobReply, error) {
	c := validator{op: "job reply"}
	out, refusal := c.jobReply(id, r)
	c.resultsOnlyIfComplete(out.Answer)
	if c.err != nil {
		// The job may have run, whatever error the reply has.
		c.err.NotRun = false
		return JobReply{}, c.err
	}
	if refusal != nil {
		return out, refusal
	}
	return out, nil
}

func (c *validator) jobReply(id carobpulley.JobID, r *wire.JobReply) (JobReply, *carobpulley.Error) {
	refusal, err := RefusalFromWire(r.GetRefusal())
	c.addError(err)
	out := JobReply{
		Owner:    c.text("owner", r.GetOwner(), 0, MaxNameBytes),
		Deadline: c.timeIfSet("deadline", r.GetDeadline()),
	}
	if r.GetOutcome() == "" {
		if refusal == nil {
			c.failf("outcome and refusal are missing")
		}
		return out, refusal
	}
	out.Answer = carobpulley.Answer{
		ID:        id,
		Service:   c.text("service", r.GetService(), 0, MaxNameBytes),
		Outcome:   c.outcome(r.GetOutcome()),
		Tasks:     c.tasks(r.GetTasks()),
		Cancelled: r.GetCancelled(),
		Err:       refusal,
	}
	c.taskOrder(out.Answer.Tasks)
	return out, nil
}

// resultsOnlyIfComplete checks that all tasks of a complete answer are done and that
// any other answer has no results.
func (c *validator) resultsOnlyIfComplete(a carobpulley.Answer) {
	complete := a.Outcome == carobpulley.OutcomeComplete
	if complete && len(a.Tasks) == 0 {
		c.failf("a complete answer has no tasks")
	}
	for _, t := range a.Tasks {
		if complete && t.Phase != carobpulley.PhaseDone {
			c.failf("a complete answer has a task in another phase than done")
		}
		if !complete && len(t.Result) > 0 {
			c.failf("an incomplete answer has a result")
		}
	}
}

// taskOrder checks that the tasks are numbered from 0 in their order.
func (c *validator) taskOrder(tasks []carobpulley.Task) {
	for i, t := range tasks {
		if t.Index != i {
			c.failf("task %d has index %d", i, t.Index)
		}
	}
}

func (c *validator) outcome(v string) carobpulley.Outcome {
	o := carobpulley.Outcome(v)
	switch o {
	case carobpulley.OutcomeRunning, carobpulley.OutcomeComplete,
		carobpulley.OutcomeFailed, carobpulley.OutcomeNotRun:
	default:
		c.failf("outcome is not known")
	}
	return o
}

func (c *validator) tasks(list []*wire.TaskState) []carobpulley.Task {
	if len(list) > carobpulley.MaxTasks {
		c.failf("%d tasks, the limit is %d", len(list), carobpulley.MaxTasks)
		return nil
	}
	out := make([]carobpulley.Task, 0, len(list))
	for _, t := range list {
		out = append(out, carobpulley.Task{
			Index:    c.index(t.GetIndex()),
			Phase:    c.phase(t.GetPhase()),
			Endpoint: c.text("endpoint", t.GetEndpoint(), 0, MaxNameBytes),
			Status:   int(t.GetStatus()),
			Result:   c.bytes("result", t.GetResult(), carobpulley.MaxResultBytes),
			Err:      c.text("error", t.GetError(), 0, MaxTextBytes),
			Attempt:  c.claimAttempt(t.GetAttempt()),

			Incarnation: t.GetIncarnation(),
		})
	}
	return out
}

// claimAttempt checks the attempt of a task in a claim; zero means no attempt.
func (c *validator) claimAttempt(v uint64) int {
	if v > math.MaxInt64 {
		c.failf("attempt is out of range")
		return 0
	}
	return int(v)
}

// taskToWire converts a task to its wire type.
func taskToWire(t carobpulley.Task) *wire.TaskState {
	return &wire.TaskState{
		Index:    indexToWire(t.Index),
		Phase:    string(t.Phase),
		Endpoint: t.Endpoint,
		Status:   int32(t.Status),
		Result:   t.Result,
		Error:    truncateText(t.Err),
		Attempt:  uint64(t.Attempt),

		Incarnation: t.Incarnation,
	}
}

// ClaimToWire converts a claim to its wire type, with its answer if it has one.
func ClaimToWire(v carobpulley.Claim) *wire.Claim {
	out := &wire.Claim{
		Spec:   SpecToWire(v.Spec),
		Shard:  uint32(v.Shard),
		Epoch:  v.Epoch,
		Digest: v.Digest,

		Pending: v.Pending,
		Gone:    v.Gone,
		Resumed: v.Resumed,
	}
	if v.Answer != nil {
		out.Answer = jobStateToWire(JobReply{Answer: *v.Answer})
	}
	return out
}

// ClaimFromWire converts a claim from its wire type and checks it.
func ClaimFromWire(v *wire.Claim) (carobpulley.Claim, error) {
	c := validator{op: "claim"}
	out := c.claim(v)
	return out, c.result()
}

func (c *validator) claim(v *wire.Claim) carobpulley.Claim {
	out := carobpulley.Claim{
		Digest:  v.GetDigest(),
		Pending: v.GetPending(),
		Gone:    v.GetGone(),
		Resumed: v.GetResumed(),
	}
	if len(out.Gone) > carobpulley.MaxGone {
		c.failf("%d departures, the limit is %d", len(out.Gone), carobpulley.MaxGone)
	}
	out.Shard, out.Epoch = c.shard(v.GetShard(), v.GetEpoch(), false)
	if v.GetAnswer() == nil {
		out.Spec = c.spec(v.GetSpec())
		return out
	}
	// The payloads of a claim with an answer may have been dropped.
	out.Spec = c.specWithoutTaskCheck(v.GetSpec())
	reply, refusal := c.jobReply(out.Spec.ID, v.GetAnswer())
	if refusal != nil {
		c.failf("the answer of a claim has no outcome")
		return out
	}
	out.Answer = &reply.Answer
	return out
}

func (c *validator) claims(list []*wire.Claim) []carobpulley.Claim {
	out := make([]carobpulley.Claim, 0, len(list))
	for _, v := range list {
		out = append(out, c.claim(v))
	}
	return out
}

func claimsToWire(list []carobpulley.Claim) []*wire.Claim {
	out := make([]*wire.Claim, 0, len(list))
	for _, v := range list {
		out = append(out, ClaimToWire(v))
	}
	return out
}
