package holds

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var testTiming = Timing{Silent: 1800 * time.Millisecond, Ended: 1300 * time.Millisecond, Forgotten: 1300 * time.Millisecond}

// newMembers returns members of equal weights, all of which have answered.
func newMembers(names ...string) *Members {
	m := NewMembers(start, testTiming)
	list := make([]Member, 0, len(names))
	for _, name := range names {
		list = append(list, Member{name, 1, ""})
		m.Answered(start, name, false)
	}
	m.Set(list)
	m.Probes(start)
	return m
}

// Guards against a digest of the members that differs with their order, or that hides a difference.
func TestDigest(t *testing.T) {
	digest := func(list ...Member) uint64 {
		m := NewMembers(start, testTiming)
		m.Set(list)
		return m.Digest()
	}
	a, b := Member{"a", 1, ""}, Member{"b", 0.5, ""}
	if digest(a, b) != digest(b, a) {
		t.Error("the digest differs with the order of the members")
	}
	seen := make(map[uint64][]Member)
	for _, list := range [][]Member{nil, {a}, {b}, {a, b}, {a, {"b", 0.25, ""}}, {a, {"b", 0.5, "z"}}} {
		if same, known := seen[digest(list...)]; known {
			t.Errorf("%v and %v have one digest", list, same)
		}
		seen[digest(list...)] = list
	}
}

// Guards against replicas that differ with the order of the members, that don't follow the members' weights,
// and against ids whose replicas change although these stay.
func TestReplicas(t *testing.T) {
	const ids = 20_000
	list := []Member{{"a", 0.1, ""}, {"b", 0.2, ""}, {"c", 0.7, ""}, {"d", 0.2, ""}, {"e", 0.1, ""}}
	m, reversed, fewer := NewMembers(start, testTiming), NewMembers(start, testTiming), NewMembers(start, testTiming)
	m.Set(list)
	other := slices.Clone(list)
	slices.Reverse(other)
	reversed.Set(other)
	fewer.Set(list[:4])
	first := make(map[string]int)
	for n := range ids {
		id := fmt.Sprintf("%016x", n)
		got := m.Replicas(start, id)
		if len(got) != ReplicaCount {
			t.Fatalf("%s: replicas %v, want %d", id, got, ReplicaCount)
		}
		first[got[0]]++
		if diff := cmp.Diff(got, reversed.Replicas(start, id)); diff != "" {
			t.Fatalf("%s: replicas depend on the order of the members (-want +got):\n%s", id, diff)
		}
		without := slices.DeleteFunc(slices.Clone(got), func(name string) bool { return name == "e" })
		if diff := cmp.Diff(without, fewer.Replicas(start, id)[:len(without)]); diff != "" {
			t.Fatalf("%s: other replicas without e (-want +got):\n%s", id, diff)
		}
	}
	for _, member := range list {
		want := member.Weight / 1.3
		if got := float64(first[member.Name]) / ids; got < want-0.02 || got > want+0.02 {
			t.Errorf("%s is the first replica of %.3f of the ids, want %.3f", member.Name, got, want)
		}
	}
	if got := NewMembers(start, testTiming).Replicas(start, "x"); len(got) > 0 {
		t.Errorf("replicas %v without members", got)
	}
}

// Guards against replicas that are lost with one failure domain.
func TestReplicasAreInDifferentDomains(t *testing.T) {
	m := NewMembers(start, testTiming)
	m.Set([]Member{{"a", 1, "x"}, {"b", 1, "x"}, {"c", 1, "x"}, {"d", 0.1, "y"}})
	for n := range 100 {
		if got := m.Replicas(start, fmt.Sprint(n)); len(got) != ReplicaCount || !slices.Contains(got, "d") {
			t.Fatalf("replicas %v, want d, the only one of its domain, among them", got)
		}
	}
	m.Failed(start, "d", false)
	if got := m.Replicas(start, "x"); len(got) != ReplicaCount || slices.Contains(got, "d") {
		t.Errorf("replicas %v without d, want two of its remaining domain", got)
	}
}

// Guards against a member that stays a replica although it is gone for good, and against one that is left out
// while runs that only it knows of may be on.
func TestMembersThatDoNotAnswerAreLeftOut(t *testing.T) {
	for name, ended := range map[string]bool{"silent": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			m := newMembers("a", "b", "c", "d")
			id := "x"
			gone := m.Replicas(start, id)[0]
			for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(10 * time.Millisecond) {
				if now.Equal(start) || slices.Contains(m.Probes(now), gone) {
					m.Failed(now, gone, ended)
				}
				limit := testTiming.Silent
				if ended {
					limit = testTiming.Ended
				}
				if got, want := slices.Contains(m.Replicas(now, id), gone), now.Sub(start) < limit; got != want {
					t.Fatalf("%s after the first failure: replica %t, want %t", now.Sub(start), got, want)
				}
			}
		})
	}
}

// Guards against a process that finds out only job by job which members were gone before it began.
func TestMembersAreProbedAtTheBegin(t *testing.T) {
	m := NewMembers(start, testTiming)
	m.Set([]Member{{"a", 1, ""}, {"b", 1, ""}, {"c", 1, ""}})
	if diff := cmp.Diff([]string{"a", "b", "c"}, m.Probes(start)); diff != "" {
		t.Errorf("probed at first (-want +got):\n%s", diff)
	}
	m.Failed(start, "a", false)
	m.Answered(start, "b", false)
	if got := m.Probes(start.Add(time.Millisecond)); len(got) > 0 {
		t.Errorf("%v probed again, want none", got)
	}
	if slices.Contains(m.Replicas(start, "x"), "a") {
		t.Error("a, which was gone at the begin, is a replica")
	}
}

// Answers the pattern of a host that is gone for good, whose record stays: probes of it get rarer, and a call
// from it has it probed at once.
func TestProbesOfSilentMembersGetRarer(t *testing.T) {
	m, now, probes := newMembers("a", "b", "c"), start, 0
	m.Failed(now, "a", false)
	for ; now.Before(start.Add(10 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if slices.Contains(m.Probes(now), "a") {
			probes++
			m.Failed(now, "a", false)
		}
	}
	if probes < 20 || probes > 40 {
		t.Errorf("%d probes in 10 min, want one in %s in the end", probes, maxProbeInterval)
	}
	m.Called(now, "a")
	if got := m.Probes(now); !slices.Contains(got, "a") {
		t.Errorf("probes of %v after a call from a, want it probed", got)
	}
	m.Answered(now, "a", false)
	if m.Suspected("a") {
		t.Error("a is suspected after an answer")
	}
}

// Guards against a member that is left out by a process that was cut off itself, and against one that stays left
// out although the process was paused.
func TestOwnOutageLeavesNobodyOut(t *testing.T) {
	m := newMembers("a", "b", "c", "d")
	gone := m.Replicas(start, "x")[0]
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(100 * time.Millisecond) {
		m.Unreached(now, gone)
		if !slices.Contains(m.Replicas(now, "x"), gone) {
			t.Fatalf("%s after the first failure: left out", now.Sub(start))
		}
	}
	m = newMembers("a", "b", "c", "d")
	m.Failed(start, gone, false)
	woke := start.Add(time.Minute)
	if slices.Contains(m.Replicas(woke, "x"), gone) {
		t.Error("a replica after a minute without an answer")
	}
	m.Recheck(woke)
	if !slices.Contains(m.Replicas(woke, "x"), gone) || !slices.Contains(m.Probes(woke), gone) {
		t.Error("neither a replica nor probed after a pause")
	}
}
