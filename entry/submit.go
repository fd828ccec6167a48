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
	// waitLimit is how long the owner waits for a job's end in one call; the
	// receiver asks again. It is shorter than forwardTimeout, so that the state
	// arrives before the call ends.
	waitLimit = 20 * time.Second
	// routeRetry is the time between tries to reach the owner of a shard.
	routeRetry = 100 * time.Millisecond
	// routeLimit is how long a receiver looks for an owner that answers. A
	// takeover lasts about 5 s.
	routeLimit = 10 * time.Second
	// warmUp is how long a new entry waits for the announcements of endpoints
	// before it calls a service impossible to run.
	warmUp = 3 * time.Second
)

// Authenticate implements api.Backend. It compares with every token, so that
// the time taken tells nothing about the tokens.
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

// mayServe reports why a call of a member for a service cannot be taken. mu is held.
func (e *Entry) mayServe(now time.Time, op, member, service string) *carobpulley.Error {
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

// Submit implements api.Backend: it finds the owner of the key's shard and
// hands the submission to it. Trying again is safe, since the key makes every
// try the same job.
func (e *Entry) Submit(ctx context.Context, spec carobpulley.JobSpec, wait bool) (carobpulley.Answer, error) {
	if err := e.serviceOf(spec); err != nil {
		return carobpulley.Answer{}, err
	}
	return e.route(ctx, spec.ID, wait, func(ctx context.Context, own carobpulley.Ownership) (carobpulley.Answer, error) {
		if own.Owner == e.cfg.Name {
			return e.submitHere(ctx, inner.Submission{Spec: spec, Wait: wait, Epoch: own.Epoch})
		}
		return e.submitThere(ctx, own, spec, wait)
	})
}

// serviceOf refuses a service of another member before anything is stored.
func (e *Entry) serviceOf(spec carobpulley.JobSpec) error {
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
			return e.lookupHere(ctx, id, wait)
		}
		r, err := e.peer(own.Owner).Lookup(ctx, connect.NewRequest(inner.LookupToWire(inner.Lookup{ID: id, Wait: wait})))
		return answerFrom(id, r, err)
	})
}

// Cancel implements api.Backend.
func (e *Entry) Cancel(ctx context.Context, id carobpulley.JobID) (carobpulley.Answer, error) {
	return e.route(ctx, id, false, func(ctx context.Context, own carobpulley.Ownership) (carobpulley.Answer, error) {
		if own.Owner == e.cfg.Name {
			return e.cancelHere(id)
		}
		r, err := e.peer(own.Owner).Cancel(ctx, connect.NewRequest(inner.CancelToWire(id)))
		return answerFrom(id, r, err)
	})
}

type ownerCall func(ctx context.Context, own carobpulley.Ownership) (carobpulley.Answer, error)

// route calls the owner of a job's shard until it answers, the caller leaves,
// or no owner has answered for routeLimit. With wait it goes on until the job
// has ended.
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
		if !tryAgain(fault.Kind) || time.Now().After(limit) {
			return carobpulley.Answer{}, fault
		}
		if !sleepCtx(ctx, time.Now().Add(routeRetry)) {
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

// tryAgain reports whether another try can find the owner. Kinds deadline and
// cancelled stand for a forwarded call without an answer.
func tryAgain(k carobpulley.Kind) bool {
	switch k {
	case carobpulley.KindUnavailable, carobpulley.KindDraining, carobpulley.KindDeadline, carobpulley.KindCancelled:
		return true
	default:
		return false
	}
}

// submitThere forwards a submission, with this entry as second holder of its claim.
func (e *Entry) submitThere(ctx context.Context, own carobpulley.Ownership, spec carobpulley.JobSpec, wait bool) (carobpulley.Answer, error) {
	claim := carobpulley.Claim{Spec: spec, Shard: own.Shard, Epoch: own.Epoch, Pending: true, Gone: e.gone()}
	receiver := ""
	if e.holdFor(claim) {
		receiver = e.cfg.Name
	}
	r, err := e.peer(own.Owner).Submit(ctx, connect.NewRequest(inner.SubmissionToWire(inner.Submission{
		Spec:     spec,
		Wait:     wait,
		Receiver: receiver,
		Epoch:    own.Epoch,
	})))
	if err != nil {
		// The owner may have taken the claim: it stays held.
		return carobpulley.Answer{}, unanswered(err)
	}
	a, err := answerFrom(spec.ID, r, nil)
	e.keep(claim, a, err)
	return a, err
}

func answerFrom(id carobpulley.JobID, r *connect.Response[wire.JobReply], err error) (carobpulley.Answer, error) {
	if err != nil {
		return carobpulley.Answer{}, unanswered(err)
	}
	out, err := inner.JobReplyFromWire(id, r.Msg)
	if err != nil {
		return carobpulley.Answer{}, err
	}
	return out.Answer, nil
}

// unanswered is the error of a forwarded call that the owner did not answer. It
// does not say "not run", even if the call was never sent: the owner may have
// started the key in an earlier call.
func unanswered(err error) error {
	out := *inner.AsError(err)
	out.NotRun = false
	return &out
}

func (e *Entry) peer(name string) wire.EntryServiceClient {
	return e.client.Entry(e.cfg.Peers[name])
}

// submitHere decides on a submission as the owner of its shard.
func (e *Entry) submitHere(ctx context.Context, s inner.Submission) (carobpulley.Answer, error) {
	w, err := e.take(s)
	if err != nil {
		return carobpulley.Answer{}, err
	}
	defer e.leave(s.Spec.ID, w)
	return e.await(ctx, s.Spec.ID, s.Wait, w)
}

// take steps the job table and returns a waiter for the job, or the rejection.
func (e *Entry) take(s inner.Submission) (*waiter, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.mayOwn(now, "submit", s.Spec.ID); err != nil {
		return nil, err
	}
	if err := e.mayTake(now, s.Spec); err != nil {
		return nil, err
	}
	w := e.wait(s.Spec.ID)
	acts := e.step(now, carobpulley.Submitted{
		Spec:     s.Spec,
		Receiver: s.Receiver,
		Epoch:    s.Epoch,
		Gone:     e.departures.Announced(now),
		Admit:    func(spec carobpulley.JobSpec) error { return e.admit(now, spec) },
	})
	e.pump(now)
	for _, a := range acts {
		if r, ok := a.(carobpulley.Rejected); ok {
			e.unwait(s.Spec.ID, w)
			return nil, r.Err
		}
	}
	return w, nil
}

// mayTake reports why a new key cannot be decided on now. Such a refusal is not
// stored under the key, so that the same submission can come again.
func (e *Entry) mayTake(now time.Time, spec carobpulley.JobSpec) error {
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
	if err := e.mayServe(now, "submit", spec.ID.Member, spec.Service); err != nil {
		return err
	}
	return e.admitter.Admit(now, spec)
}

// mayOwn reports why this entry cannot decide on a key now. mu is held.
func (e *Entry) mayOwn(now time.Time, op string, id carobpulley.JobID) error {
	if e.authority.Active(now, carobpulley.ShardOf(id, e.cfg.Shards)) {
		return nil
	}
	return e.unavailable(now, op, carobpulley.KindUnavailable, "this entry does not own the key's shard")
}

// await returns the job's state, at its end if wait is set and ctx allows.
func (e *Entry) await(ctx context.Context, id carobpulley.JobID, wait bool, w *waiter) (carobpulley.Answer, error) {
	a, err := e.answer(id)
	if err != nil || !wait || a.Outcome != carobpulley.OutcomeRunning {
		return a, err
	}
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
	return e.answer(id)
}

func (e *Entry) answer(id carobpulley.JobID) (carobpulley.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.mayOwn(now, "lookup", id); err != nil {
		return carobpulley.Answer{}, err
	}
	return e.table.Answer(now, id)
}

func (e *Entry) lookupHere(ctx context.Context, id carobpulley.JobID, wait bool) (carobpulley.Answer, error) {
	e.mu.Lock()
	w := e.wait(id)
	e.mu.Unlock()
	defer e.leave(id, w)
	return e.await(ctx, id, wait, w)
}

func (e *Entry) cancelHere(id carobpulley.JobID) (carobpulley.Answer, error) {
	e.mu.Lock()
	now := time.Now()
	err := e.mayOwn(now, "cancel", id)
	if err == nil {
		e.step(now, carobpulley.Cancelled{Job: id})
		e.pump(now)
	}
	e.mu.Unlock()
	if err != nil {
		return carobpulley.Answer{}, err
	}
	return e.answer(id)
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
