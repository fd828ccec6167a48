package inner_test

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"carobpulley"
	"carobpulley/inner"
	"carobpulley/wire"
)

var (
	deadline = time.Date(2026, 5, 4, 3, 2, 1, 9, time.UTC)
	jobID    = carobpulley.JobID{Member: "vans", Key: "k/1"}
	spec     = carobpulley.JobSpec{ID: jobID, Service: "confirm", Payloads: [][]byte{{1}, {2}}, Deadline: deadline}
	refusal  = &carobpulley.Error{
		Op: "enter", Kind: carobpulley.KindBusy, Msg: "no slot", NotRun: true, RetryAt: deadline,
	}
	answer = carobpulley.Answer{
		ID: jobID, Service: "confirm", Outcome: carobpulley.OutcomeComplete,
		Tasks: []carobpulley.Task{{Phase: carobpulley.PhaseDone, Endpoint: "e1", Status: 200, Result: []byte("r")}},
	}
	claim    = carobpulley.Claim{Spec: spec, Shard: 3, Epoch: 4, Digest: 6, Pending: true, Resumed: true, Gone: []uint64{5}, Answer: &answer}
	shards   = []carobpulley.Ownership{{Shard: 3, Owner: "a", Epoch: 4}}
	contact  = inner.Contact{Entry: "a", Incarnation: 1, ConfigVersion: 2, OwnersOffset: 3, Draining: true}
	config   = inner.ConfigRecord{Version: 1, ChangeID: "c", Document: []byte("d"), Offset: 9}
	owners   = inner.OwnersRecord{Offset: 1, ID: "x", Entry: "a", Incarnation: 2, Shards: shards}
	journal  = inner.JournalRecord{Entry: "a", Incarnation: 2, Claims: []carobpulley.Claim{claim}, End: shards}
	entering = carobpulley.Entering{
		Dispatch: carobpulley.Dispatch{
			ID: carobpulley.TaskID{Job: jobID, Index: 119}, Attempt: 2, Shard: 3, Epoch: 4,
			Endpoint: "e1", Service: "confirm", Payload: []byte("p"), Deadline: deadline,
		},
		Echo: 5, Incarnation: 6, ConfigVersion: 7, InService: true,
	}
	requestID = carobpulley.TaskID{Job: jobID, Index: carobpulley.RequestIndex}
	announced = inner.Announcement{
		Endpoint: carobpulley.Endpoint{
			ID: "e1", Incarnation: 6, Addr: netip.MustParseAddrPort("10.0.0.1:7"), Domain: "d1",
			Rack: "r1", Services: []string{"confirm"}, Slots: 8, Draining: true,
		},
		Load: carobpulley.Load{Running: 1, Queued: 2}, AgentTime: 3, Leaving: true,
	}
	dispatched = inner.DispatchAnswer{
		Phase: carobpulley.PhaseNotRun, Refusal: refusal, AgentTime: 3,
		Load: carobpulley.Load{Running: 1}, Run: time.Second, Incarnation: 6,
	}
)

// message is a wire message with the function that converts it to its domain type
// and checks it.
type message struct {
	wire    proto.Message
	convert func(proto.Message) (any, error)
}

// msg converts a domain value to a message with the conversion back. It returns both
// the message and the value.
func msg[W proto.Message, D any](to func(D) W, from func(W) (D, error), v D) (message, any) {
	return message{wire: to(v), convert: func(m proto.Message) (any, error) {
		out, err := from(m.(W))
		return out, err
	}}, v
}

// messages returns examples of all messages whose conversion can fail, with the domain
// values that the conversions must return.
func messages() (list []message, want []any) {
	add := func(m message, v any) {
		list = append(list, m)
		want = append(want, v)
	}
	add(msg(inner.SpecToWire, inner.SpecFromWire, spec))
	add(msg(inner.SubmissionToWire, inner.SubmissionFromWire, inner.Submission{Spec: spec, Wait: true, Receiver: "b"}))
	add(msg(inner.LookupToWire, inner.LookupFromWire, inner.Lookup{ID: jobID, Wait: true}))
	add(msg(inner.CancelToWire, inner.CancelFromWire, jobID))
	add(msg(inner.JobReplyToWire, func(r *wire.JobReply) (inner.JobReply, error) { return inner.JobReplyFromWire(jobID, r) },
		inner.JobReply{Answer: answer, Owner: "a", Deadline: deadline}))
	add(msg(inner.ContactToWire, inner.ContactFromWire, contact))
	add(msg(inner.ContactAnswerToWire, inner.ContactAnswerFromWire,
		inner.ContactAnswer{Contact: contact, Vouch: true, Config: &config, Claims: []inner.OwnersRecord{owners}}))
	add(msg(inner.OwnersRecordToWire, inner.OwnersRecordFromWire, owners))
	add(msg(inner.JournalRecordToWire, inner.JournalRecordFromWire, journal))
	add(msg(inner.WitnessingToWire, inner.WitnessingFromWire, inner.Witnessing{Owner: "a", Claims: []carobpulley.Claim{claim}}))
	add(msg(inner.WitnessAnswerToWire, func(r *wire.WitnessReply) ([]bool, error) { return inner.WitnessAnswerFromWire(2, r) }, []bool{true, false}))
	add(msg(inner.YieldingToWire, inner.YieldingFromWire, inner.Yielding{Entry: "a", Shards: shards}))
	add(msg(inner.YieldAnswerToWire, inner.YieldAnswerFromWire, inner.YieldAnswer{
		Yielded: true, Claims: []carobpulley.Claim{claim}, Missing: []int{3},
		Opened:  []carobpulley.Ownership{{Shard: 1, Epoch: 2}},
		Unknown: []inner.UnknownShard{{Shard: 2, Remaining: 3 * time.Second}},
	}))
	add(msg(inner.PublishToWire, inner.PublishFromWire, config))
	add(msg(inner.AnnouncementToWire, inner.AnnouncementFromWire, announced))
	add(msg(inner.DispatchToWire, inner.DispatchFromWire, entering))
	request := entering
	request.Request = true
	request.Dispatch.ID, request.Dispatch.Shard, request.Dispatch.Epoch = requestID, 0, 0
	add(msg(inner.DispatchToWire, inner.DispatchFromWire, request))
	add(msg(inner.DispatchAnswerToWire, inner.DispatchAnswerFromWire, dispatched))
	add(msg(inner.QueryToWire, inner.QueryFromWire,
		inner.Query{ID: entering.Dispatch.ID, Attempt: 2, Shard: 3, Epoch: 4, Wait: true, Endpoint: "e1", Incarnation: 6}))
	add(msg(inner.CancelTaskToWire, inner.CancelTaskFromWire, inner.Cancel{ID: requestID, Endpoint: "e1", Incarnation: 6}))
	add(msg(inner.FenceRequestToWire, inner.FenceRequestFromWire, inner.FenceRequest{Owner: "a", Shards: shards}))
	add(msg(func(v inner.FenceAnswer) *wire.FenceReply { return inner.FenceAnswerToWire(v, carobpulley.Shards) },
		func(r *wire.FenceReply) (inner.FenceAnswer, error) { return inner.FenceAnswerFromWire("e1", r) },
		inner.FenceAnswer{
			Fenced: true, AgentTime: 3, Incarnation: 6, Complete: true, Next: 9,
			Started: []carobpulley.StartedTask{{ID: entering.Dispatch.ID, Endpoint: "e1", Phase: carobpulley.PhaseFailed, Status: 500, Err: "x"}},
		}))
	add(msg(func(e *carobpulley.Error) *wire.Refusal { return inner.RefusalToWire(e) }, inner.RefusalFromWire, refusal))
	return list, want
}

// Guards against a field that is lost or changed between two processes.
func TestRoundTrip(t *testing.T) {
	list, want := messages()
	for i, m := range list {
		data, err := proto.Marshal(m.wire)
		if err != nil {
			t.Fatal(err)
		}
		copied := m.wire.ProtoReflect().New().Interface()
		if err := proto.Unmarshal(data, copied); err != nil {
			t.Fatal(err)
		}
		got, err := m.convert(copied)
		if err != nil {
			t.Errorf("%T: %v", m.wire, err)
			continue
		}
		if diff := cmp.Diff(want[i], got, cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%T (-want +got):\n%s", m.wire, diff)
		}
	}
}

// Guards against a process that acts on a malformed or oversized message.
func TestMalformed(t *testing.T) {
	long := strings.Repeat("x", 129)
	big := make([]byte, 64<<10+1)
	spec := func(change func(*wire.JobSpec)) error {
		m := inner.SpecToWire(spec)
		change(m)
		_, err := inner.SpecFromWire(m)
		return err
	}
	dispatch := func(change func(*wire.DispatchRequest)) error {
		m := inner.DispatchToWire(entering)
		change(m)
		_, err := inner.DispatchFromWire(m)
		return err
	}
	announce := func(change func(*wire.AnnounceRequest)) error {
		m := inner.AnnouncementToWire(announced)
		change(m)
		_, err := inner.AnnouncementFromWire(m)
		return err
	}
	answered := func(change func(*wire.DispatchReply)) error {
		m := inner.DispatchAnswerToWire(dispatched)
		change(m)
		_, err := inner.DispatchAnswerFromWire(m)
		return err
	}
	reply := func(change func(*wire.JobReply)) error {
		m := inner.JobReplyToWire(inner.JobReply{Answer: answer})
		change(m)
		_, err := inner.JobReplyFromWire(jobID, m)
		return err
	}
	cases := map[string]error{
		"no id":            spec(func(m *wire.JobSpec) { m.Id = nil }),
		"no member":        spec(func(m *wire.JobSpec) { m.Id.Member = "" }),
		"no key":           spec(func(m *wire.JobSpec) { m.Id.Key = "" }),
		"long key":         spec(func(m *wire.JobSpec) { m.Id.Key = long }),
		"key not UTF-8":    spec(func(m *wire.JobSpec) { m.Id.Key = "\xff" }),
		"no tasks":         spec(func(m *wire.JobSpec) { m.Payloads = nil }),
		"121 tasks":        spec(func(m *wire.JobSpec) { m.Payloads = make([][]byte, 121) }),
		"big payload":      spec(func(m *wire.JobSpec) { m.Payloads = [][]byte{big} }),
		"big body":         spec(func(m *wire.JobSpec) { m.Payloads = slices.Repeat([][]byte{big[1:]}, 33) }),
		"no deadline":      spec(func(m *wire.JobSpec) { m.Deadline = nil }),
		"bad deadline":     spec(func(m *wire.JobSpec) { m.Deadline = &timestamppb.Timestamp{Nanos: -1} }),
		"index 120":        dispatch(func(m *wire.DispatchRequest) { m.Index = 120 }),
		"index wraps":      dispatch(func(m *wire.DispatchRequest) { m.Index = 1<<32 - 1 }),
		"request index":    dispatch(func(m *wire.DispatchRequest) { m.Request, m.Shard, m.Epoch = true, 0, 0 }),
		"request shard":    dispatch(func(m *wire.DispatchRequest) { m.Request, m.Index = true, 0 }),
		"no epoch":         dispatch(func(m *wire.DispatchRequest) { m.Epoch = 0 }),
		"shard":            dispatch(func(m *wire.DispatchRequest) { m.Shard = 1 << 20 }),
		"attempt 0":        dispatch(func(m *wire.DispatchRequest) { m.Attempt = "0" }),
		"attempt +1":       dispatch(func(m *wire.DispatchRequest) { m.Attempt = "+1" }),
		"attempt text":     dispatch(func(m *wire.DispatchRequest) { m.Attempt = "x" }),
		"no endpoint":      dispatch(func(m *wire.DispatchRequest) { m.Endpoint = "" }),
		"no incarnation":   dispatch(func(m *wire.DispatchRequest) { m.Incarnation = 0 }),
		"addr name":        announce(func(m *wire.AnnounceRequest) { m.Addr = "host:1" }),
		"addr port":        announce(func(m *wire.AnnounceRequest) { m.Addr = "10.0.0.1:0" }),
		"addr unspecified": announce(func(m *wire.AnnounceRequest) { m.Addr = "0.0.0.0:1" }),
		"no slots":         announce(func(m *wire.AnnounceRequest) { m.Slots = 0 }),
		"no services":      announce(func(m *wire.AnnounceRequest) { m.Services = nil }),
		"started not run":  answered(func(m *wire.DispatchReply) { m.Phase = "done" }),
		"not run, started": answered(func(m *wire.DispatchReply) { m.Refusal.NotRun = false }),
		"phase":            answered(func(m *wire.DispatchReply) { m.Phase = "" }),
		"no clock":         answered(func(m *wire.DispatchReply) { m.AgentTime = 0 }),
		"big result":       answered(func(m *wire.DispatchReply) { m.Result = big }),
		"partial answer":   reply(func(m *wire.JobReply) { m.Outcome = "failed" }),
		"undone complete":  reply(func(m *wire.JobReply) { m.Tasks[0].Phase = "failed" }),
		"empty reply":      reply(func(m *wire.JobReply) { proto.Reset(m) }),
		"outcome":          reply(func(m *wire.JobReply) { m.Outcome = "good" }),
	}
	for name, err := range cases {
		e, ok := errors.Into[*carobpulley.Error](err)
		if !ok || e.Kind != carobpulley.KindInvalid {
			t.Errorf("%s: got %v, want an error of kind invalid", name, err)
		}
	}
}

// Guards against a panic on any message, and against a conversion that accepts a value
// whose own encoding it then rejects.
func FuzzConversions(f *testing.F) {
	list, _ := messages()
	for i, m := range list {
		data, err := proto.Marshal(m.wire)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(i, data)
	}
	f.Fuzz(func(t *testing.T, i int, data []byte) {
		if i < 0 || i >= len(list) {
			return
		}
		m := list[i].wire.ProtoReflect().New().Interface()
		if proto.Unmarshal(data, m) != nil {
			return
		}
		_, err := list[i].convert(m)
		if e, ok := errors.Into[*carobpulley.Error](err); err != nil && (!ok || e.Kind == "") {
			t.Errorf("%T: error %#v has no kind", m, err)
		}
		switch m := m.(type) {
		case *wire.DispatchRequest:
			checkRoundTrip(t, m, inner.DispatchFromWire, inner.DispatchToWire)
		case *wire.JobSpec:
			checkRoundTrip(t, m, inner.SpecFromWire, inner.SpecToWire)
		case *wire.DispatchReply:
			checkRoundTrip(t, m, inner.DispatchAnswerFromWire, inner.DispatchAnswerToWire)
		case *wire.AnnounceRequest:
			checkRoundTrip(t, m, inner.AnnouncementFromWire, inner.AnnouncementToWire)
		}
	})
}

// checkRoundTrip converts an accepted message to the wire and back and compares the
// values.
func checkRoundTrip[W, D any](t *testing.T, m W, from func(W) (D, error), to func(D) W) {
	v, err := from(m)
	if err != nil {
		return
	}
	second, err := from(to(v))
	if err != nil {
		t.Fatalf("encoding of an accepted message was rejected: %v", err)
	}
	if diff := cmp.Diff(v, second, cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}
