package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/wire"
)

const (
	// forwardTimeout bounds one call to the owner.
	forwardTimeout = 30 * time.Second
	// waitLimit bounds how long the owner waits for a job's end in one call; the
	// receiver then calls again. It is shorter than forwardTimeout, so that the state
	// arrives before the call times out.
	waitLimit = 20 * time.Second
	// routeRetryDelay is the pause between attempts to reach the owner of a shard.
	routeRetryDelay = 100 * time.Millisecond
	// routeLimit bounds how long a receiver retries until an owner answers. A
	// takeover lasts about 5 s.
	routeLimit = 10 * time.Second
	// warmUp is how long a new entry waits for the announcements of endpoints
	// before it rejects jobs because no endpoint runs their service.
	warmUp = 3 * time.Second
)

// Authenticate implements api.Backend. It compares with every token, so that
// the time taken reveals nothing about the tokens.
func (e *Entry) Authenticate(token string) (string, error) {
	sum := sha256.Sum256([]byte(token))
	cat := e.catalogue()
	found := ""
	for _, m := range cat.Members {
		for _, h := range m.TokenHashes {
			if subtle.ConstantTimeCompare(h[:], sum[:]) == 1 {
				found = m.Name
			}
		}
	}
	if found != "" {
		return found, nil
	}
	return "", &carobpulley.Error{
		Op:   "authenticate",
		Kind: carobpulley.KindUnauthenticated,
		Msg:  "the token belongs to no member of the catalogue",
	}
}

func (e *Entry) catalogue() *carobpulley.Catalogue {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cat
}

// checkService returns why a member's call for a service must be rejected now, or
// nil. mu is held.
func (e *Entry) checkService(now time.Time, op, member, service string) *carobpulley.Error {
	s, ok := e.cat.Services[service]
	switch {
	case e.draining:
		return e.unavailable(now, op, carobpulley.KindDraining, "the entry is stopping")
	case !e.authority.Has(now):
		return e.unavailable(now, op, carobpulley.KindUnavailable, "the entry is not in contact with a majority")
	case !ok:
		return &carobpulley.Error{Op: op, Kind: carobpulley.KindImpossible, Msg: "the catalogue has no service " + service}
	case s.Member != member:
		return &carobpulley.Error{Op: op, Kind: carobpulley.KindForbidden, Msg: "the service belongs to another member"}
	}
	return nil
}

func (e *Entry) unavailable(now time.Time, op string, k carobpulley.Kind, msg string) *carobpulley.Error {
	return &carobpulley.Error{Op: op, Kind: k, Msg: msg, RetryAt: now.Add(time.Second)}
}

// Submit implements api.Backend. It forwards the submission to the owner of the
// key's shard. Retries are safe, since the key identifies the job.
func (e *Entry) Submit(ctx context.Context, spec carobpulley.JobSpec, wait bool) (carobpulley.Answer, error) {
	if err := e.checkServiceMember(spec); err != nil {
		return carobpulley.Answer{}, err
	}
	return e.route(ctx, spec.ID, wait, func(ctx context.Context, own carobpulley.Ownership) (carobpulley.Answer, error) {
		if own.Owner == e.cfg.Name {
			return e.submitLocal(ctx, inner.Submission{Spec: spec, Wait: wait, Epoch: own.Epoch})
		}
		return e.forwardSubmission(ctx, own, spec, wait)
	})
}

// checkServiceMember rejects a service of another member before anything is stored.
func (e *Entry) checkServiceMember(spec carobpulley.JobSpec) error {
	s, ok := e.catalogue().Services[spec.Service]
	if ok && s.Member != spec.ID.Member {
		return &carobpulley.Error{Op: "submit", Kind: carobpulley.KindForbidden, Msg: "the service belongs to another member"}
	}
	return nil
}

// Lookup implements api.Backend.
func (e *Entry) Lookup(ctx context.Context, id carobpulley.JobID, wait bool) (carobpulley.Answer, error) {
	return e.route(ctx, id, wait, func(ctx context.Context, own carobpulley.Ownership) (carobpulley.Answer, error) {
		if own.Owner == e.cfg.Name {
			return e.lookupLocal(ctx, id, wait)
		}
		r, err := e.peerClient(own.Owner).Lookup(ctx, connect.NewRequest(inner.LookupToWire(inner.Lookup{ID: id, Wait: wait})))
		return jobAnswer(id, r, err)
	})
}

// Cancel implements api.Backend.
func (e *Entry) Cancel(ctx context.Context, id carobpulley.JobID) (carobpulley.Answer, error) {
	return e.route(ctx, id, false, func(ctx context.Context, own carobpulley.Ownership) (carobpulley.Answer, error) {
		if own.Owner == e.cfg.Name {
			return e.cancelLocal(id)
		}
		r, err := e.peerClient(own.Owner).Cancel(ctx, connect.NewRequest(inner.CancelToWire(id)))
		return jobAnswer(id, r, err)
	})
}

type ownerCall func(ctx context.Context, own carobpulley.Ownership) (carobpulley.Answer, error)

// route calls the owner of a job's shard until it answers, the caller leaves,
// or no owner has answered for routeLimit. With wait it repeats the call until the
// job has ended.
func (e *Entry) route(ctx context.Context, id carobpulley.JobID, wait bool, do ownerCall) (carobpulley.Answer, error) {
	limit := time.Now().Add(routeLimit)
	for {
		a, err := e.routeOnce(ctx, id, do)
		if err == nil {
			if !wait || a.Outcome != carobpulley.OutcomeRunning || ctx.Err() != nil {
				return a, nil
			}
			limit = time.Now().Add(routeLimit)
			continue
		}
		fault := inner.AsError(err)
		if !isRetryable(fault.Kind) || time.Now().After(limit) {
			return carobpulley.Answer{}, fault
		}
		if !sleepCtx(ctx, time.Now().Add(routeRetryDelay)) {
			return carobpulley.Answer{}, fault
		}
	}
}

func (e *Entry) routeOnce(ctx context.Context, id carobpulley.JobID, do ownerCall) (carobpulley.Answer, error) {
	shard := carobpulley.ShardOf(id, e.cfg.Shards)
	now := time.Now()
	e.mu.Lock()
	own, ok := e.authority.Owner(shard)
	e.mu.Unlock()
	if !ok {
		return carobpulley.Answer{}, e.unavailable(now, "route", carobpulley.KindUnavailable, "the key's shard has no owner")
	}
	if own.Owner != e.cfg.Name {
		if _, known := e.cfg.Peers[own.Owner]; !known {
			return carobpulley.Answer{}, e.unavailable(now, "route", carobpulley.KindUnavailable, "the owner "+own.Owner+" is not a known peer")
		}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return do(ctx, own)
}

// isRetryable reports whether a retry may reach the owner. A forwarded call that
// timed out or got no answer has the kind unavailable, and one whose context was
// cancelled the kind cancelled.
func isRetryable(k carobpulley.Kind) bool {
	switch k {
	case carobpulley.KindUnavailable, carobpulley.KindDraining, carobpulley.KindDeadline, carobpulley.KindCancelled:
		return true
	default:
		return false
	}
}

// forwardSubmission forwards a submission to the owner, with this entry as the
// backup holder of its claim.
func (e *Entry) forwardSubmission(ctx context.Context, own carobpulley.Ownership, spec carobpulley.JobSpec, wait bool) (carobpulley.Answer, error) {
	claim := carobpulley.Claim{Spec: spec, Shard: own.Shard, Epoch: own.Epoch, Pending: true, Gone: e.departedAgents()}
	receiver := ""
	if e.holdForOwner(claim) {
		receiver = e.cfg.Name
	}
	r, err := e.peerClient(own.Owner).Submit(ctx, connect.NewRequest(inner.SubmissionToWire(inner.Submission{
		Spec:     spec,
		Wait:     wait,
		Receiver: receiver,
		Epoch:    own.Epoch,
	})))
	if err != nil {
		// The owner may have accepted the job, so the copy of the claim stays stored.
		return carobpulley.Answer{}, forwardError(err)
	}
	a, err := jobAnswer(spec.ID, r, nil)
	e.keep(claim, a, err)
	return a, err
}

func jobAnswer(id carobpulley.JobID, r *connect.Response[wire.JobReply], err error) (carobpulley.Answer, error) {
	if err != nil {
		return carobpulley.Answer{}, forwardError(err)
	}
	out, err := inner.JobReplyFromWire(id, r.Msg)
	if err != nil {
		return carobpulley.Answer{}, err
	}
	return out.Answer, nil
}

// forwardError returns the error of a forwarded call that the owner did not answer.
// NotRun is false even if the call was never sent, since the owner may have started
// the key in an earlier call.
func forwardError(err error) error {
	out := *inner.AsError(err)
	out.NotRun = false
	return &out
}

func (e *Entry) peerClient(name string) wire.EntryServiceClient {
	return e.client.Entry(e.cfg.Peers[name])
}

// submitLocal handles a submission as the owner of its shard.
func (e *Entry) submitLocal(ctx context.Context, s inner.Submission) (carobpulley.Answer, error) {
	w, err := e.acceptSubmission(s)
	if err != nil {
		return carobpulley.Answer{}, err
	}
	defer e.removeWaiter(s.Spec.ID, w)
	return e.awaitJob(ctx, s.Spec.ID, s.Wait, w)
}

// acceptSubmission passes a submission to the job table and returns a waiter for the
// job, or the reason of a rejection.
func (e *Entry) acceptSubmission(s inner.Submission) (*waiter, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.checkOwner(now, "submit", s.Spec.ID); err != nil {
		return nil, err
	}
	if err := e.checkNewKey(now, s.Spec); err != nil {
		return nil, err
	}
	w := e.addWaiter(s.Spec.ID)
	acts := e.stepTable(now, carobpulley.Submitted{
		Spec:     s.Spec,
		Receiver: s.Receiver,
		Epoch:    s.Epoch,
		Gone:     e.departures.Announced(now),
		Admit:    func(spec carobpulley.JobSpec) error { return e.admit(now, spec) },
	})
	e.dispatchQueued(now)
	for _, a := range acts {
		if r, ok := a.(carobpulley.Rejected); ok {
			e.removeWaiterLocked(s.Spec.ID, w)
			return nil, r.Err
		}
	}
	return w, nil
}

// checkNewKey returns why a new key can be neither accepted nor refused permanently
// now, or nil. The error is not stored under the key, so that the submission can be
// retried.
func (e *Entry) checkNewKey(now time.Time, spec carobpulley.JobSpec) error {
	_, err := e.table.Answer(now, spec.ID)
	if err == nil || inner.AsError(err).Kind != carobpulley.KindNotFound {
		return nil
	}
	if e.draining {
		return e.unavailable(now, "submit", carobpulley.KindDraining, "the entry is stopping")
	}
	if now.Sub(e.startedAt) < warmUp && !e.placer.CanRun(spec.Service) {
		return e.unavailable(now, "submit", carobpulley.KindUnavailable, "the endpoints have not announced themselves yet")
	}
	return nil
}

func (e *Entry) admit(now time.Time, spec carobpulley.JobSpec) error {
	if err := e.checkService(now, "submit", spec.ID.Member, spec.Service); err != nil {
		return err
	}
	return e.admitter.Admit(now, spec)
}

// checkOwner returns an error if this entry is not the active owner of a key's
// shard. mu is held.
func (e *Entry) checkOwner(now time.Time, op string, id carobpulley.JobID) error {
	if e.authority.Active(now, carobpulley.ShardOf(id, e.cfg.Shards)) {
		return nil
	}
	return e.unavailable(now, op, carobpulley.KindUnavailable, "this entry does not own the key's shard")
}

// awaitJob returns the job's state. With wait it first waits for the job's end, for
// waitLimit at most or until ctx ends.
func (e *Entry) awaitJob(ctx context.Context, id carobpulley.JobID, wait bool, w *waiter) (carobpulley.Answer, error) {
	a, err := e.answerLocal(id)
	if err != nil || !wait || a.Outcome != carobpulley.OutcomeRunning {
		return a, err
	}
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	return e.answerLocal(id)
}

func (e *Entry) answerLocal(id carobpulley.JobID) (carobpulley.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.checkOwner(now, "lookup", id); err != nil {
		return carobpulley.Answer{}, err
	}
	return e.table.Answer(now, id)
}

func (e *Entry) lookupLocal(ctx context.Context, id carobpulley.JobID, wait bool) (carobpulley.Answer, error) {
	e.mu.Lock()
	w := e.addWaiter(id)
	e.mu.Unlock()
	defer e.removeWaiter(id, w)
	return e.awaitJob(ctx, id, wait, w)
}

func (e *Entry) cancelLocal(id carobpulley.JobID) (carobpulley.Answer, error) {
	e.mu.Lock()
	now := time.Now()
	err := e.checkOwner(now, "cancel", id)
	if err == nil {
		e.stepTable(now, carobpulley.Cancelled{Job: id})
		e.dispatchQueued(now)
	}
	e.mu.Unlock()
	if err != nil {
		return carobpulley.Answer{}, err
	}
	return e.answerLocal(id)
}

// sleepCtx waits until a time; it returns false if ctx ends first.
func sleepCtx(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
