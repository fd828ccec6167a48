package coord

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"carobpulley"
	"carobpulley/domain"
	"carobpulley/link"
	"carobpulley/meter"
	"carobpulley/sched"
	"carobpulley/work"
)

// recordedStore returns given records to reads of the control topic.
type recordedStore struct {
	carobpulley.Store
	newest []carobpulley.KeyedRecord
	// tail holds all records, and before is called before a read returns some of them.
	tail   []carobpulley.KeyedRecord
	before func()
}

func (s *recordedStore) Newest(context.Context, carobpulley.Partition) ([]carobpulley.KeyedRecord, int64, error) {
	return s.newest, int64(len(s.tail)), nil
}

func (s *recordedStore) Tail(_ context.Context, _ carobpulley.Partition, from int64, _ time.Duration) ([]carobpulley.KeyedRecord, int64, error) {
	records := s.tail[from:]
	if before := s.before; before != nil {
		s.before = nil
		before()
	}
	return records, int64(len(s.tail)), nil
}

func newControlTest(t *testing.T, s *recordedStore) *Coordinator {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // no attachment is tried
	self := work.Address{Name: "self", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}
	c := New(ctx, Config{Self: self, Shards: 1, Meter: meter.New()}, carobpulley.SteadyClock{}, sched.New(), zerolog.Nop(), s, nil, link.NewPeers())
	t.Cleanup(c.peers.Close)
	return c
}

func announced(t *testing.T, offset int64, name string) carobpulley.KeyedRecord {
	t.Helper()
	value, err := work.EncodeControl(work.Address{Name: name, Addr: netip.MustParseAddrPort("127.0.0.1:2"), Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	return carobpulley.KeyedRecord{Key: work.AgentKey(name), Value: value, Offset: offset}
}

func (c *Coordinator) agentNames() []string {
	c.lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.agents))
	for name := range c.agents {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Guards against a server that has left and stays in use, because the store's history with its
// deletion is gone when it is read again.
func TestAgentsWithoutARecordAreRemoved(t *testing.T) {
	s := &recordedStore{newest: []carobpulley.KeyedRecord{announced(t, 0, "a"), announced(t, 1, "b")}}
	c := newControlTest(t, s)
	for range 2 {
		if err := c.readControlSnapshot(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		want := make([]string, 0, len(s.newest))
		for i := range s.newest {
			want = append(want, s.newest[i].Key[len(work.AgentKey("")):])
		}
		if diff := cmp.Diff(want, c.agentNames()); diff != "" {
			t.Errorf("agents (-want +got):\n%s", diff)
		}
		s.newest = s.newest[:1]
	}
}

// Guards against a server that has left and is in use again, because two reads of the topic ran at a
// time and the one that had begun earlier was applied last.
func TestOlderReadIsNotAppliedAgain(t *testing.T) {
	s := &recordedStore{tail: []carobpulley.KeyedRecord{announced(t, 0, "a"), announced(t, 1, "b")}}
	c := newControlTest(t, s)
	s.before = func() {
		s.tail = append(s.tail, carobpulley.KeyedRecord{Key: work.AgentKey("a"), Offset: 2})
		if _, err := c.readControlTail(t.Context(), time.Now(), 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.readControlTail(t.Context(), time.Now(), 0); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"b"}, c.agentNames()); diff != "" {
		t.Errorf("agents (-want +got):\n%s", diff)
	}
}

// Guards against a domain that was taken out of service and is put back by a list of the operators'
// records that is older than what others have told.
func TestOlderOperatorsListPutsNoDomainBack(t *testing.T) {
	s := &recordedStore{newest: []carobpulley.KeyedRecord{{Key: "config", Offset: 0}}, tail: make([]carobpulley.KeyedRecord, 1)}
	c := newControlTest(t, s)
	c.configSource = domainSource{}
	c.mu.Lock()
	c.mergeDomains(domain.View{Offset: 2, Out: []string{"d"}}, "agent")
	c.mu.Unlock()
	if _, err := c.readConfigSnapshot(t.Context(), carobpulley.Partition{}); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if diff := cmp.Diff([]string{"d"}, c.domains.Out); diff != "" {
		t.Errorf("domains out of service (-want +got):\n%s", diff)
	}
}

// domainSource decodes the key "config" as a configuration and all others as domains.
type domainSource struct{}

func (domainSource) Partition() carobpulley.Partition {
	return carobpulley.Partition{Topic: "operators"}
}

func (domainSource) Decode(r carobpulley.KeyedRecord) (carobpulley.ConfigChange, error) {
	if r.Key == "config" {
		return carobpulley.ConfigChange{Config: &work.RoutingConfig{Version: 1}}, nil
	}
	return carobpulley.ConfigChange{Domain: r.Key, OutOfService: r.Value != nil}, nil
}
