package owner

import (
	"fmt"
	"math"
	"testing"

	"github.com/anishathalye/porcupine"

	"carobpulley"
)

// claimInput is an ownership claim on one shard, and claimResult its result as the claimer
// reads it.
type claimInput struct {
	shard int
	epoch uint64
}

type claimResult struct{ won bool }

// decision is an owner's answer to a submission: whether the key was known before.
type decision struct{ known bool }

// history records ownership claims and submissions with the times of call and return.
type history struct {
	claims       []*porcupine.Operation
	claimers     []*simEntry
	incarnations []uint64
	ownClaims    []bool
	submissions  []*porcupine.Operation
}

// claim records the first append of a claim. The claim of a handover gets no result
// here.
func (h *history) claim(e *simEntry, a carobpulley.AppendClaim) {
	for _, o := range a.Shards {
		if !h.recorded(e, claimInput{o.Shard, o.Epoch}) {
			h.claims = append(h.claims, &porcupine.Operation{
				Input: claimInput{o.Shard, o.Epoch}, Call: e.sim.now.UnixNano(), Return: math.MaxInt64,
			})
			h.claimers, h.incarnations, h.ownClaims = append(h.claimers, e), append(h.incarnations, e.incarnation), append(h.ownClaims, a.Entry == e.name)
		}
	}
}

func (h *history) recorded(e *simEntry, c claimInput) bool {
	for i, op := range h.claims {
		if h.claimers[i] == e && h.incarnations[i] == e.incarnation && op.Input == c {
			return true
		}
	}
	return false
}

// resolve sets the result of the claims that the entry has just read.
func (h *history) resolve(e *simEntry) {
	for i, op := range h.claims {
		c := op.Input.(claimInput)
		s := &e.auth.shards[c.shard]
		if h.ownClaims[i] && h.claimers[i] == e && h.incarnations[i] == e.incarnation && op.Output == nil && s.epoch >= c.epoch {
			op.Return = e.sim.now.UnixNano()
			op.Output = claimResult{e.auth.isOwner(s) && s.epoch == c.epoch}
		}
	}
}

func (h *history) submission(e *simEntry, id carobpulley.JobID) *porcupine.Operation {
	op := &porcupine.Operation{Input: id, Call: e.sim.now.UnixNano(), Return: math.MaxInt64}
	h.submissions = append(h.submissions, op)
	return op
}

// claimModel accepts the first claim of an epoch and none of an older one. A claim without
// a result may take effect later.
var claimModel = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, simShards)
		for _, op := range ops {
			s := op.Input.(claimInput).shard
			parts[s] = append(parts[s], op)
		}
		return parts
	},
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		newest, epoch := state.(uint64), input.(claimInput).epoch
		switch {
		case output == nil:
			return []any{newest, max(newest, epoch)}
		case output.(claimResult).won && epoch > newest:
			return []any{epoch}
		case !output.(claimResult).won && epoch <= newest:
			return []any{newest}
		}
		return nil
	},
}).ToModel()

// keyModel accepts a key as new once. A submission without a decision may take effect
// later, since its receiver holds the claim for a new owner.
var keyModel = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[carobpulley.JobID][]porcupine.Operation{}
		for _, op := range ops {
			byKey[op.Input.(carobpulley.JobID)] = append(byKey[op.Input.(carobpulley.JobID)], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		if output == nil {
			return []any{state, true}
		}
		if state.(bool) == output.(decision).known {
			return []any{true}
		}
		return nil
	},
}).ToModel()

// operations returns the recorded operations. Those without a result never return.
func operations(ops []*porcupine.Operation) (out []porcupine.Operation) {
	for _, op := range ops {
		if op.Output == nil {
			op.Return = math.MaxInt64
		}
		op.ClientId = len(out)
		out = append(out, *op)
	}
	return out
}

// Guards against two winners of an epoch and against a key that is accepted as new twice,
// under any single fault.
func TestOrderOfClaims(t *testing.T) {
	all := make([]schedule, 0, len(simFaults)*len(simSteps))
	for i, f := range simFaults {
		for j, step := range simSteps {
			all = append(all, schedule{step: step, faults: []string{f}, seed: uint64(5000 + 100*i + j)})
		}
	}
	claims, keys := 0, 0
	for i, sim := range play(all) {
		c, k := operations(sim.history.claims), operations(sim.history.submissions)
		claims, keys = claims+len(c), keys+len(k)
		if !porcupine.CheckOperations(claimModel, c) {
			t.Errorf("%+v: the ownership claims are not linearizable", all[i])
		}
		if !porcupine.CheckOperations(keyModel, k) {
			t.Errorf("%+v: a key is accepted as new twice", all[i])
		}
	}
	t.Logf("%d claims, %d submissions in %d schedules", claims, keys, len(all))
	two := []porcupine.Operation{
		{Input: claimInput{0, 1}, Output: claimResult{true}, Call: 1, Return: 3},
		{Input: claimInput{0, 1}, Output: claimResult{true}, Call: 2, Return: 4, ClientId: 1},
	}
	if porcupine.CheckOperations(claimModel, two) {
		t.Error(fmt.Sprint("two winners of an epoch pass the check: ", two))
	}
}
