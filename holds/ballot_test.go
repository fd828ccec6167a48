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
// what they granted, or against that of one that knows better.
func TestOutcome(t *testing.T) {
	const none = "none"
	mine, other, third := voteOf{"self", false}, voteOf{"y", false}, voteOf{"z", false}
	young := voteOf{"self", true}
	silent := voteOf{none, false}
	for _, c := range []struct {
		votes []voteOf
		want  Outcome
		by    string
	}{
		{[]voteOf{mine, mine}, Granted, "self"},
		{[]voteOf{mine}, Pending, ""},
		{[]voteOf{mine, silent}, Pending, ""},
		{[]voteOf{mine, silent, mine}, Granted, "self"},
		{[]voteOf{mine, silent, silent}, GrantedByFew, "self"},
		{[]voteOf{mine, silent, other}, Contested, "y"},
		{[]voteOf{mine, other}, Pending, ""},
		{[]voteOf{mine, other, mine}, Granted, "self"},
		{[]voteOf{mine, other, other}, Elsewhere, "y"},
		{[]voteOf{other, other}, Elsewhere, "y"},
		{[]voteOf{other, third, mine}, Contested, "y"},
		{[]voteOf{silent, silent, silent}, NoAnswer, ""},
		{[]voteOf{young, mine, silent}, GrantedByFew, "self"},
		{[]voteOf{young, mine, mine}, Granted, "self"},
		{[]voteOf{young, young, mine}, GrantedByFew, "self"},
		{[]voteOf{young, other, mine}, Contested, "y"},
		{[]voteOf{young, young, young}, Granted, "self"},
		{[]voteOf{young, young, silent}, Granted, "self"},
		{[]voteOf{young, silent, silent}, NoAnswer, ""},
		{[]voteOf{young, other, silent}, Contested, "y"},
	} {
		m := newMembers("a", "b", "c", "d", "e")
		b := m.Ballot(start, "x", holder("self", 1))
		for n, v := range c.votes {
			for !b.replicas[n].asked {
				if b.AskAnother() == "" {
					t.Fatal("no replica is left to ask")
				}
			}
			if v.holder == none {
				b.Record(b.replicas[n].name, nil)
				continue
			}
			b.Record(b.replicas[n].name, &Vote{Hold: Hold{Holder: holder(v.holder, 1)}, Young: v.young})
		}
		got, hold := b.Outcome()
		if got != c.want || hold.Holder.Coordinator != c.by {
			t.Errorf("%+v: outcome %d of %q, want %d of %q", c.votes, got, hold.Holder.Coordinator, c.want, c.by)
		}
	}
}

// Guards against calls to more replicas than needed, to those that are known not to answer, and against a
// process that asks others although it is a replica itself.
func TestReplicasThatAreAsked(t *testing.T) {
	m := newMembers("a", "b", "c", "d", "e")
	id := "x"
	replicas := m.Replicas(start, id)
	if diff := cmp.Diff(replicas[:2], m.Ballot(start, id, holder("other", 1)).Ask()); diff != "" {
		t.Errorf("asked at first (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{replicas[2], replicas[0]}, m.Ballot(start, id, holder(replicas[2], 1)).Ask()); diff != "" {
		t.Errorf("asked by a replica (-want +got):\n%s", diff)
	}
	m.Failed(start, replicas[0], false)
	b := m.Ballot(start, id, holder("other", 1))
	if diff := cmp.Diff(replicas[1:], b.Ask()); diff != "" {
		t.Errorf("asked beside a silent replica (-want +got):\n%s", diff)
	}
	b.Record(replicas[1], nil)
	if got := b.Ask(); len(got) > 0 {
		t.Errorf("%v asked, want none: all others have been", got)
	}
	m.Failed(start.Add(time.Minute), replicas[0], false)
	b = m.Ballot(start.Add(time.Minute), id, holder("other", 1))
	if asked := b.Ask(); len(asked) != 2 || slices.Contains(asked, replicas[0]) {
		t.Errorf("%v asked once %s is left out", asked, replicas[0])
	}
}

// Guards against a grant that only the replicas know which were needed for it: once they end, the third one is
// asked.
func TestAllReplicasAreToldOfAGrant(t *testing.T) {
	m := newMembers("a", "b", "c", "d", "e")
	b := m.Ballot(start, "x", holder("other", 1))
	told := b.Ask()
	for _, name := range told {
		b.Record(name, &Vote{Hold: Hold{Holder: holder("other", 1)}})
	}
	if diff := cmp.Diff(m.Replicas(start, "x"), append(told, b.Copies()...)); diff != "" {
		t.Errorf("replicas that are told (-want +got):\n%s", diff)
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
			for names := b.Ask(); len(names) > 0; names = b.Ask() {
				for i, name := range names {
					if tables[name] == nil {
						tables[name] = New()
					}
					if n>>(2*k+i)&1 == 1 && n%3 == k { // this one gets the ask, and the answer is lost
						tables[name].Take(start, id, holder(by, 1), uint64(k+1), 0)
						b.Record(name, nil)
						continue
					}
					h := tables[name].Take(start, id, holder(by, 1), uint64(k+1), 0)
					b.Record(name, &Vote{Hold: h})
				}
			}
			if outcome, _ := b.Outcome(); outcome == Granted {
				granted++
			}
		}
		if granted > 1 {
			t.Fatalf("id %s was granted to both", id)
		}
	}
}

// Guards against the word of a member that was left out and is back, and has missed what was granted meanwhile.
func TestMemberThatReturnsDoesNotCountAtOnce(t *testing.T) {
	m := newMembers("a", "b", "c", "d")
	id := "x"
	back := m.Replicas(start, id)[0]
	m.Failed(start, back, false)
	returned := start.Add(3 * time.Second)
	m.Answered(returned, back)
	for after, counts := range map[time.Duration]bool{0: false, testTiming.Forgotten: true} {
		b := m.Ballot(returned.Add(after), id, holder("other", 1))
		for _, name := range b.Ask() {
			b.Record(name, &Vote{Hold: Hold{Holder: holder("other", 1)}})
		}
		if outcome, _ := b.Outcome(); (outcome == Granted) != counts {
			t.Errorf("%s after its return: outcome %d, want it to count: %t", after, outcome, counts)
		}
	}
}
