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
	// maxWitnessGroup bounds the claims of one Witness call.
	maxWitnessGroup = 256
	// maxWitnessBytes bounds the payloads and results of one Witness call, so
	// that the message stays below the limit of inner messages.
	maxWitnessBytes = 8 << 20
	// witnessRetry is the time before claims that got no answer are sent again.
	witnessRetry = 250 * time.Millisecond
)

// holdClaim asks a peer to hold a claim. The journal counts as a second holder
// too, whichever is first; an answer that is not in the journal yet goes there
// by this action alone.
func (e *Entry) holdClaim(c carobpulley.Claim) {
	if c.Answer != nil {
		e.writeJournal(c)
	}
	e.holdAgain(c)
}

// witnessOf returns the sender to the next entry in the order of the shard that
// is not this entry and not known to be away.
func (e *Entry) witnessOf(shard int) *witnessSender {
	now := time.Now()
	name := owner.PreferredOwner(e.cat.Entries, shard, func(name string) bool {
		p := e.peers[name]
		return p == nil || now.Sub(p.answeredAt) > carobpulley.ContactTimeout
	})
	return e.witnesses[name]
}

// writeJournal appends a claim to the journal.
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
	e.goDo(func() {
		if _, err := t.Wait(e.ctx); err != nil {
			return
		}
		e.event(carobpulley.ClaimHeld{Job: c.Spec.ID, Answer: c.Answer != nil})
	})
}

// witnessSender sends claims to one peer in groups: while a message is under
// way, further claims wait for the next one.
type witnessSender struct {
	e    *Entry
	peer string

	mu      sync.Mutex
	waiting []carobpulley.Claim
	sending bool
}

func newWitnessSender(e *Entry, peer string) *witnessSender {
	return &witnessSender{e: e, peer: peer}
}

func (s *witnessSender) add(c carobpulley.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, c)
	if s.sending {
		return
	}
	s.sending = true
	s.e.goDo(s.run)
}

func (s *witnessSender) run() {
	for {
		group := s.take()
		if len(group) == 0 {
			return
		}
		s.send(group)
	}
}

func (s *witnessSender) take() []carobpulley.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, size := 0, 0
	for n < len(s.waiting) && n < maxWitnessGroup {
		size += claimBytes(s.waiting[n])
		if n > 0 && size > maxWitnessBytes {
			break
		}
		n++
	}
	group := s.waiting[:n:n]
	s.waiting = s.waiting[n:]
	s.sending = n > 0
	return group
}

func (s *witnessSender) send(group []carobpulley.Claim) {
	ctx, cancel := context.WithTimeout(s.e.ctx, witnessTimeout)
	defer cancel()
	s.e.counters.witness.Add(1)
	r, err := s.e.peer(s.peer).Witness(ctx, connect.NewRequest(inner.WitnessingToWire(inner.Witnessing{
		Owner:  s.e.cfg.Name,
		Claims: group,
	})))
	if err != nil {
		s.e.logger.Warn().Err(err).Str("peer", s.peer).Int("claims", len(group)).Msg("witness got no answer")
		s.lost(group)
		return
	}
	held, err := inner.WitnessAnswerFromWire(len(group), r.Msg)
	if err != nil {
		s.e.logger.Warn().Err(err).Str("peer", s.peer).Msg("witness answer is not valid")
		s.lost(group)
		return
	}
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	now := time.Now()
	for i, c := range group {
		if held[i] {
			s.e.step(now, carobpulley.ClaimHeld{Job: c.Spec.ID, Answer: c.Answer != nil})
		}
	}
	s.e.pump(now)
}

// lost looks for another holder of claims that got no answer. While there is
// none they are sent again later.
func (s *witnessSender) lost(group []carobpulley.Claim) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	var later []carobpulley.Claim
	for _, c := range group {
		other := s.e.witnessOf(c.Shard)
		if other != nil && other != s {
			other.add(c)
		} else {
			later = append(later, c)
		}
	}
	s.e.holdLater(later)
}

// holdAgain sends a claim to its witness, or tries later while no peer is known
// to be there. mu is held.
func (e *Entry) holdAgain(c carobpulley.Claim) {
	if s := e.witnessOf(c.Shard); s != nil {
		s.add(c)
		return
	}
	e.holdLater([]carobpulley.Claim{c})
}

// holdLater sends claims to a witness after a pause if they still lack a second
// holder. To await the journal alone does not do: the log may be down.
func (e *Entry) holdLater(group []carobpulley.Claim) {
	if len(group) == 0 || len(e.witnesses) == 0 {
		return
	}
	e.goDo(func() {
		if !e.sleep(time.Now().Add(witnessRetry)) {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		now := time.Now()
		for _, c := range group {
			if e.lacksHolder(now, c) {
				e.holdAgain(c)
			}
		}
	})
}

// lacksHolder reports whether a claim may still wait for its second holder: no
// task of the job has been sent, or its final answer is not told. mu is held.
func (e *Entry) lacksHolder(now time.Time, c carobpulley.Claim) bool {
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

func claimBytes(c carobpulley.Claim) int {
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
