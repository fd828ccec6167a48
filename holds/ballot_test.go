package holds

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// voteOf is the answer of a replica in a test: who has the id by it, and whether it may have forgotten holds.
type voteOf struct {
	holder string
	young  bool
}

// Guards against a process that starts a job on the word of too few replicas, of replicas that have forgotten
// what they granted, against that of one that knows better, or on its own word while it is cut off.
func TestOutcome(t *testing.T) {
	mine, other, third, young := voteOf{"self", false}, voteOf{"y", false}, voteOf{"z", false}, voteOf{"self", true}
	// By the word of another host too a replica is out; one that is unreached may be up.
	out, unreached, ended := voteOf{"out", false}, voteOf{"unreached", false}, voteOf{"ended", false}
	silences := map[voteOf]Silence{out: Told, unreached: Unreached, ended: Ended}
	for _, c := range []struct {
		votes []voteOf
		want  Outcome
		by    string
	}{
		{[]voteOf{mine, mine}, Granted, "self"},
		{[]voteOf{mine}, Pending, ""},
		{[]voteOf{other}, Pending, ""},
		{[]voteOf{mine, out}, Pending, ""},
		{[]voteOf{mine, out, mine}, GrantedByOne, "self"},
		{[]voteOf{mine, out, young}, GrantedByOne, "self"},
		{[]voteOf{mine, out, out}, NoAnswer, ""},
		{[]voteOf{mine, out, other}, Contested, "y"},
		{[]voteOf{mine, ended}, GrantedByOne, "self"},
		{[]voteOf{young, ended}, NoAnswer, ""},
		{[]voteOf{other, ended}, Elsewhere, "y"},
		{[]voteOf{ended, ended}, NoAnswer, ""},
		{[]voteOf{out, ended}, Pending, ""},
		{[]voteOf{out, ended, mine}, NoAnswer, ""},
		{[]voteOf{mine, out, ended}, NoAnswer, ""},
		{[]voteOf{mine, unreached}, Pending, ""},
		{[]voteOf{mine, unreached, mine}, GrantedByOne, "self"},
		{[]voteOf{mine, unreached, unreached}, NoAnswer, ""},
		{[]voteOf{mine, other}, Contested, "y"},
		{[]voteOf{other, other}, Elsewhere, "y"},
		{[]voteOf{other, third}, Contested, "y"},
		{[]voteOf{other, out}, Elsewhere, "y"},
		{[]voteOf{other, unreached}, Elsewhere, "y"},
		{[]voteOf{out, out, out}, NoAnswer, ""},
		{[]voteOf{out, out, mine}, NoAnswer, ""},
		{[]voteOf{out, out, other}, Elsewhere, "y"},
		{[]voteOf{young, mine}, GrantedByOne, "self"},
		{[]voteOf{young, other}, Contested, "y"},
		{[]voteOf{young, young}, NoAnswer, ""},
		{[]voteOf{young, out, out}, NoAnswer, ""},
		{[]voteOf{young, out, mine}, NoAnswer, ""},
	} {
		b := newMembers("a", "b", "c", "d", "e").Ballot(start, "x", holder("self", 1))
		for n, v := range c.votes {
			name := b.replicas[n].name
			if silence, silent := silences[v]; silent {
				b.Record(name, nil, silence)
				continue
			}
			b.Record(name, &Vote{Hold: Hold{Holder: holder(v.holder, 1)}, Young: v.young}, Unreached)
		}
		got, hold := b.Outcome()
		if got != c.want || hold.Holder.Coordinator != c.by {
			t.Errorf("%+v: outcome %d of %q, want %d of %q", c.votes, got, hold.Holder.Coordinator, c.want, c.by)
		}
	}
}

// grantAll has all replicas of a ballot grant the id, and say that they may have forgotten holds if young is set.
func grantAll(b *Ballot, young bool) Outcome {
	for _, name := range b.Open() {
		b.Record(name, &Vote{Hold: Hold{Holder: b.by}, Young: young}, Unreached)
	}
	outcome, _ := b.Outcome()
	return outcome
}

// Guards against jobs that wait after a loss of all coordinators, and against a start while a coordinator that has
// not begun anew may hold the id.
func TestAllHaveBegunAnew(t *testing.T) {
	m := NewMembers(start, testTiming)
	m.Set([]Member{{"a", 1, ""}, {"b", 1, ""}, {"c", 1, ""}, {"d", 1, ""}, {"e", 1, ""}})
	for _, name := range []string{"a", "b", "c"} {
		m.Answered(start, name, true)
	}
	m.Failed(start, "d", false)
	if got := grantAll(m.Ballot(start, "x", holder("a", 1)), true); got != NoAnswer {
		t.Errorf("outcome %d before all are known, want %d", got, NoAnswer)
	}
	m.Failed(start, "e", true)
	if got := grantAll(m.Ballot(start, "x", holder("a", 1)), true); got != Granted {
		t.Errorf("outcome %d, want %d", got, Granted)
	}
	m.Answered(start, "d", false)
	if got := grantAll(m.Ballot(start, "x", holder("a", 1)), true); got != NoAnswer {
		t.Errorf("outcome %d beside one that has not begun anew, want %d", got, NoAnswer)
	}
}

// Guards against calls to replicas that are known not to answer, and against the word of a member that takes the
// place of one, and was told of no grant.
func TestReplicasThatAreAsked(t *testing.T) {
	m := newMembers("a", "b", "c", "d", "e")
	id := "x"
	replicas := m.Replicas(start, id)
	if diff := cmp.Diff(replicas, m.Ballot(start, id, holder("other", 1)).Open()); diff != "" {
		t.Errorf("asked at first (-want +got):\n%s", diff)
	}
	m.Failed(start, replicas[0], false)
	spare := m.choose(start, id, VoterCount)[ReplicaCount]
	if diff := cmp.Diff(append(replicas[1:], spare), m.Ballot(start, id, holder("other", 1)).Next()); diff != "" {
		t.Errorf("asked beside a silent replica (-want +got):\n%s", diff)
	}
	out := start.Add(testTiming.Silent)
	for after, want := range map[time.Duration]Outcome{0: GrantedByOne, testTiming.Forgotten: Granted} {
		b := m.Ballot(out.Add(after), id, holder("other", 1))
		if asked := b.Open(); len(asked) != ReplicaCount || slices.Contains(asked, replicas[0]) {
			t.Errorf("%v asked once %s is left out", asked, replicas[0])
		}
		if got := grantAll(b, false); got != want {
			t.Errorf("%s after one was left out: outcome %d, want %d", after, got, want)
		}
	}
	m.Failed(start, replicas[1], false)
	if got := grantAll(m.Ballot(out, id, holder("other", 1)), false); got != NoAnswer {
		t.Errorf("both were left out: outcome %d, want %d", got, NoAnswer)
	}
}

// Guards against two processes that both hold an id: whatever answers get lost, each pair of processes that
// know the same members shares a replica.
func TestTwoProcessesShareAReplica(t *testing.T) {
	for n := range 4000 {
		id := fmt.Sprint(n)
		m := newMembers("a", "b", "c", "d", "e")
		tables := make(map[string]*Table)
		granted := 0
		for k, by := range []string{"a", "b"} {
			b := m.Ballot(start, id, holder(by, 1))
			for i, name := range b.Open() {
				if tables[name] == nil {
					tables[name] = New()
				}
				h := tables[name].Take(start, id, holder(by, 1), uint64(k+1), 0)
				if n>>(ReplicaCount*k+i)&1 == 1 { // the answer is lost
					b.Record(name, nil, Silence(n%48/16))
					continue
				}
				b.Record(name, &Vote{Hold: h}, Unreached)
			}
			if outcome, _ := b.Outcome(); outcome == Granted || outcome == GrantedByOne {
				granted++
			}
		}
		if granted > 1 {
			t.Fatalf("id %s was granted to both", id)
		}
	}
}

// Guards against two processes that both hold an id as each of them takes another replica for out, which it has not
// asked or whose answer was lost.
func TestTwoProcessesThatMissDifferentReplicas(t *testing.T) {
	const arrives, notAsked = 0, 1 // and 2: the answer gets lost
	for n := range 729 {           // what becomes of the asks of both at three members
		m := newMembers("a", "b", "c", "d", "e")
		tables := make(map[string]*Table)
		var by []string
		rest := n
		for k, name := range []string{"a", "b"} {
			b := m.Ballot(start, "x", holder(name, 1))
			for range VoterCount {
				fate := rest % 3
				rest /= 3
				next := b.Open()
				if len(next) == 0 {
					continue
				}
				if tables[next[0]] == nil {
					tables[next[0]] = New()
				}
				var vote *Vote
				if fate != notAsked {
					vote = &Vote{Hold: tables[next[0]].Take(start, "x", holder(name, 1), uint64(k+1), 0)}
				}
				if fate != arrives {
					vote = nil
				}
				b.Record(next[0], vote, Told)
			}
			if outcome, _ := b.Outcome(); outcome == Granted || outcome == GrantedByOne {
				by = append(by, name)
			}
		}
		if len(by) > 1 {
			t.Fatalf("asks %d: the id was granted to %v", n, by)
		}
	}
}

// Guards against the word of a member that was left out and is back, and has missed what was granted meanwhile.
func TestMemberThatReturnsDoesNotCountAtOnce(t *testing.T) {
	m := newMembers("a", "b", "c", "d")
	id := "x"
	back := m.Replicas(start, id)[0]
	m.Failed(start, back, false)
	returned := start.Add(5 * time.Second)
	m.Answered(returned, back, false)
	for after, counts := range map[time.Duration]bool{0: false, testTiming.Forgotten: true} {
		b := m.Ballot(returned.Add(after), id, holder("other", 1))
		for _, name := range b.Open() {
			if name != back {
				b.Record(name, nil, Told)
			}
		}
		if outcome := grantAll(b, false); (outcome == GrantedByOne) != counts {
			t.Errorf("%s after its return: outcome %d, want its word to count: %t", after, outcome, counts)
		}
	}
}
