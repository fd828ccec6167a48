package link

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"carobpulley/wire/relay"
	"carobpulley/work"
)

var odd = []int64{math.MaxInt64, math.MinInt64, -1, 1 << 60}

// Guards against a message whose offset outweighs all that is read of the failure domains later, or
// whose age proves it for the future: starts go on in a domain that was taken out of service.
func TestOddKnowledgeOfDomainsIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, n := range odd {
		if v := DomainsFromWire(&relay.Domains{Offset: n, Out: []string{"z"}, AgeMs: 1}, now); v.Offset != 0 || len(v.Out) != 0 || !v.ProvenAt.IsZero() {
			t.Errorf("offset %d: %+v", n, v)
		}
		if v := DomainsFromWire(&relay.Domains{Offset: 3, AgeMs: n}, now); v.ProvenAt.After(now) || v.ProvenAt.After(time.Time{}) {
			t.Errorf("age of %d ms: proven at %s", n, v.ProvenAt)
		}
	}
	if v := DomainsFromWire(&relay.Domains{Offset: 3, AgeMs: 200}, now); v.Offset != 3 || !v.ProvenAt.Equal(now.Add(-200*time.Millisecond)) {
		t.Errorf("good message: %+v", v)
	}
}

// Guards against amounts of a message that overflow in sums: a start fits a full endpoint, or an
// endpoint has room without end.
func TestOddAmountsOfMessages(t *testing.T) {
	for _, n := range odd {
		d := DispatchFromWire(&relay.OrderRequest{Starts: []*relay.Start{{Cpu: n, SlackMs: n, WaitMs: n}}})
		s := d.Starts[0]
		if s.Resources.Fits(work.Resources{CPU: 1 << 30, MemMB: 1 << 30, GPU: 1 << 30}) {
			t.Errorf("a start with %d millicores fits", n)
		}
		if wait := time.Duration(s.WaitMS) * time.Millisecond; wait < 0 || wait > maxMS*time.Millisecond || s.SlackMS < -maxMS || s.SlackMS > maxMS {
			t.Errorf("%d: wait %d ms, slack %d ms", n, s.WaitMS, s.SlackMS)
		}
		for _, m := range []*relay.Runner{{Cpu: n, Ready: true}, {Cpu: 1000, UsedCpu: n, Ready: true}} {
			if got := EndpointStateFromWire(m); got.Ready || got.Capacity != (work.Resources{}) {
				t.Errorf("%d: endpoint in use: %+v", n, got)
			}
		}
		if r := ReportFromWire(&relay.ReportRequest{Ends: []*relay.End{{ElapsedMs: n}}}); r.Ends[0].ElapsedMS < 0 || r.Ends[0].ElapsedMS > maxMS {
			t.Errorf("%d: an end after %d ms", n, r.Ends[0].ElapsedMS)
		}
	}
}

// Guards against an epoch or a shard out of range that is taken for an ownership.
func TestOddEpochsAreLeftOut(t *testing.T) {
	got := EpochsFromWire([]*relay.ShardEpoch{{Shard: 1, Epoch: 4}, {Shard: 2, Epoch: math.MaxUint64}, {Shard: math.MaxUint32, Epoch: 4}})
	if len(got) != 1 || got[1] != 4 {
		t.Errorf("epochs %v, want those of shard 1", got)
	}
}

// Guards against a message that ends the process.
func FuzzMessages(f *testing.F) {
	for _, n := range odd {
		for _, m := range []proto.Message{
			&relay.OrderRequest{Starts: []*relay.Start{{Cpu: n, WaitMs: n}, nil}, Echo: n},
			&relay.ReportRequest{Runner: &relay.Runner{Cpu: n}, Ends: []*relay.End{{Number: n}}, Domains: &relay.Domains{Offset: n, AgeMs: n}},
		} {
			if b, err := proto.Marshal(m); err == nil {
				f.Add(b)
			}
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var order relay.OrderRequest
		if proto.Unmarshal(b, &order) == nil {
			for _, s := range DispatchFromWire(&order).Starts {
				if s.Resources.Check() != nil {
					t.Errorf("start %+v", s)
				}
			}
		}
		var report relay.ReportRequest
		if proto.Unmarshal(b, &report) == nil {
			if r := ReportFromWire(&report); r.State.Capacity.Check() != nil || r.State.Used.Check() != nil {
				t.Errorf("state %+v", r.State)
			}
			DomainsFromWire(report.GetDomains(), time.Unix(1000, 0))
		}
	})
}
