package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/owner"
)

const (
	// witnessTimeout bounds one Witness call.
	witnessTimeout = time.Second
	// maxWitnessClaims bounds the claims of one Witness call.
	maxWitnessClaims = 256
	// maxWitnessBytes bounds the payloads and results of one Witness call, so
	// that the message stays below inner.MaxMessageBytes.
	maxWitnessBytes = 8 << 20
	// witnessRetryDelay is the pause before unanswered claims are sent again.
	witnessRetryDelay = 250 * time.Millisecond
)

// holdClaim requests a backup holder for a claim: a peer (the witness) or the
// journal, whichever confirms first. HoldClaim may be the only action for an answer
// that is not in the journal yet, so a claim with an answer is journaled here too.
func (e *Entry) holdClaim(c carobpulley.Claim) {
	if c.Answer != nil {
		e.writeJournal(c)
	}
	e.sendToWitness(c)
}

// witnessFor returns the sender to the first peer in the shard's order of
// preference that sent a contact or an answer within ContactTimeout, or nil if none
// has.
func (e *Entry) witnessFor(shard int) *witnessSender {
	now := time.Now()
	name := owner.PreferredOwner(e.cat.Entries, shard, func(name string) bool {
		p := e.peers[name]
		return p == nil || now.Sub(p.lastContactAt) > carobpulley.ContactTimeout
	})
	return e.witnessSenders[name]
}

// writeJournal appends a claim to the journal. Once the log has confirmed it, the
// journal counts as a backup holder of the claim.
func (e *Entry) writeJournal(c carobpulley.Claim) {
	data, err := proto.Marshal(inner.JournalRecordToWire(inner.JournalRecord{
		Entry:       e.cfg.Name,
		Incarnation: e.cfg.Incarnation,
		Claims:      []carobpulley.Claim{c},
	}))
	if err != nil {
		e.logger.Error().Err(err).Msg("journal record cannot be encoded")
		return
	}
	t, err := e.journal.Add(data)
	if err != nil {
		e.counters.journalRefused.Add(1)
		e.journalGap = true
		e.logger.Warn().Err(err).Msg("claim is not journaled")
		return
	}
	e.runBackground(func() {
		if _, err := t.Wait(e.ctx); err != nil {
			return
		}
		e.handleEvent(carobpulley.ClaimHeld{Job: c.Spec.ID, Answer: c.Answer != nil})
	})
}

// witnessSender sends claims to one peer in batches: claims that are added while a
// message is in progress are queued for the next one.
type witnessSender struct {
	e    *Entry
	peer string

	mu      sync.Mutex
	queued  []carobpulley.Claim
	sending bool
}

func newWitnessSender(e *Entry, peer string) *witnessSender {
	return &witnessSender{e: e, peer: peer}
}

func (s *witnessSender) add(c carobpulley.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued = append(s.queued, c)
	if s.sending {
		return
	}
	s.sending = true
	s.e.runBackground(s.run)
}

func (s *witnessSender) run() {
	for {
		batch := s.nextBatch()
		if len(batch) == 0 {
			return
		}
		s.send(batch)
	}
}

func (s *witnessSender) nextBatch() []carobpulley.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size := 0, 0
	for n < len(s.queued) && n < maxWitnessClaims {
		size += claimSize(s.queued[n])
		if n > 0 && size > maxWitnessBytes {
			break
		}
		n++
	}
	batch := s.queued[:n:n]
	s.queued = s.queued[n:]
	s.sending = n > 0
	return batch
}

func (s *witnessSender) send(batch []carobpulley.Claim) {
	ctx, cancel := context.WithTimeout(s.e.ctx, witnessTimeout)
	defer cancel()
	s.e.counters.witness.Add(1)
	r, err := s.e.peerClient(s.peer).Witness(ctx, connect.NewRequest(inner.WitnessingToWire(inner.Witnessing{
		Owner:  s.e.cfg.Name,
		Claims: batch,
	})))
	if err != nil {
		s.e.logger.Warn().Err(err).Str("peer", s.peer).Int("claims", len(batch)).Msg("witness request failed")
		s.handleUnanswered(batch)
		return
	}
	held, err := inner.WitnessAnswerFromWire(len(batch), r.Msg)
	if err != nil {
		s.e.logger.Warn().Err(err).Str("peer", s.peer).Msg("witness answer is not valid")
		s.handleUnanswered(batch)
		return
	}
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	now := time.Now()
	for i, c := range batch {
		if held[i] {
			s.e.stepTable(now, carobpulley.ClaimHeld{Job: c.Spec.ID, Answer: c.Answer != nil})
		}
	}
	s.e.dispatchQueued(now)
}

// handleUnanswered sends claims that were not answered to another peer. If there is
// none, they are sent again after a pause.
func (s *witnessSender) handleUnanswered(batch []carobpulley.Claim) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	var unassigned []carobpulley.Claim
	for _, c := range batch {
		other := s.e.witnessFor(c.Shard)
		if other != nil && other != s {
			other.add(c)
		} else {
			unassigned = append(unassigned, c)
		}
	}
	s.e.retryWitness(unassigned)
}

// sendToWitness sends a claim to its witness, or schedules a retry if no peer is
// reachable. mu is held.
func (e *Entry) sendToWitness(c carobpulley.Claim) {
	if s := e.witnessFor(c.Shard); s != nil {
		s.add(c)
		return
	}
	e.retryWitness([]carobpulley.Claim{c})
}

// retryWitness sends claims to a witness after a pause if they still lack a backup
// holder. Waiting for the journal alone is not enough, since the log may be down.
func (e *Entry) retryWitness(batch []carobpulley.Claim) {
	if len(batch) == 0 || len(e.witnessSenders) == 0 {
		return
	}
	e.runBackground(func() {
		if !e.sleep(time.Now().Add(witnessRetryDelay)) {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		now := time.Now()
		for _, c := range batch {
			if e.lacksBackupHolder(now, c) {
				e.sendToWitness(c)
			}
		}
	})
}

// lacksBackupHolder reports whether a claim may still lack a backup holder: this
// entry owns the shard, the deadline is ahead, the job is running, and either no task
// has been dispatched or the claim carries the final answer, which callers have not
// received yet. mu is held.
func (e *Entry) lacksBackupHolder(now time.Time, c carobpulley.Claim) bool {
	own, ok := e.authority.Owner(c.Shard)
	if !ok || own.Owner != e.cfg.Name || own.Epoch != c.Epoch || !now.Before(c.Spec.Deadline) {
		return false
	}
	a, err := e.table.Answer(now, c.Spec.ID)
	if err != nil || a.Outcome != carobpulley.OutcomeRunning {
		return false
	}
	if c.Answer != nil {
		return true
	}
	return !slices.ContainsFunc(a.Tasks, func(t carobpulley.Task) bool { return t.Attempt > 0 })
}

func claimSize(c carobpulley.Claim) int {
	n := 0
	for _, p := range c.Spec.Payloads {
		n += len(p)
	}
	if c.Answer == nil {
		return n
	}
	for _, t := range c.Answer.Tasks {
		n += len(t.Result)
	}
	return n
}
