package link

import (
	"carobpulley/jobs"
	"carobpulley/runs"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// EpochsToWire converts the epochs of owned shards, keyed by shard number.
func EpochsToWire(epochs map[int]uint64) []*relay.ShardEpoch {
	out := make([]*relay.ShardEpoch, 0, len(epochs))
	for shard, epoch := range epochs {
		out = append(out, &relay.ShardEpoch{Shard: uint32(shard), Epoch: epoch})
	}
	return out
}

// EpochsFromWire returns the epochs of owned shards, keyed by shard number.
func EpochsFromWire(in []*relay.ShardEpoch) map[int]uint64 {
	out := make(map[int]uint64, len(in))
	for _, e := range in {
		if e.GetShard() < work.MaxShards && e.GetEpoch() <= work.MaxEpoch {
			out[int(e.GetShard())] = e.GetEpoch()
		}
	}
	return out
}

// boundResources returns amounts as they are, or for amounts out of range those that fit no endpoint.
func boundResources(r work.Resources) work.Resources {
	if r.Check() != nil {
		return work.Resources{CPU: work.MaxResource, MemMB: work.MaxResource, GPU: work.MaxResource}
	}
	return r
}

func runToWire(r work.Run) *relay.Run {
	return &relay.Run{Task: r.Task, Run: r.Number}
}

func runFromWire(r *relay.Run) work.Run {
	return work.Run{Task: r.GetTask(), Number: r.GetRun()}
}

// RunsToWire converts runs to their messages.
func RunsToWire(in []work.Run) []*relay.Run {
	out := make([]*relay.Run, 0, len(in))
	for _, r := range in {
		out = append(out, runToWire(r))
	}
	return out
}

// RunsFromWire converts messages to runs.
func RunsFromWire(in []*relay.Run) []work.Run {
	out := make([]work.Run, 0, len(in))
	for _, r := range in {
		out = append(out, runFromWire(r))
	}
	return out
}

func startsToWire(in []work.Start) []*relay.Start {
	out := make([]*relay.Start, 0, len(in))
	for i := range in {
		s := &in[i]
		out = append(out, &relay.Start{
			Run: runToWire(s.Run), Spec: s.Spec, Cpu: s.Resources.CPU, MemMb: s.Resources.MemMB,
			Gpu: s.Resources.GPU, Checkpoint: s.Checkpoint, Kept: s.Durable, SlackMs: s.SlackMS, WaitMs: s.WaitMS,
			Suspect: s.Suspect, Priority: uint32(min(max(s.Priority, 0), maxPriority)), Kind: s.Kind,
		})
	}
	return out
}

func startsFromWire(in []*relay.Start) []work.Start {
	out := make([]work.Start, 0, len(in))
	for _, s := range in {
		out = append(out, work.Start{
			Run: runFromWire(s.GetRun()), Spec: s.GetSpec(), Checkpoint: s.GetCheckpoint(),
			Resources: boundResources(work.Resources{CPU: s.GetCpu(), MemMB: s.GetMemMb(), GPU: s.GetGpu()}),
			Durable:   s.GetKept(), SlackMS: boundMS(s.GetSlackMs()), WaitMS: max(boundMS(s.GetWaitMs()), 0),
			Suspect: s.GetSuspect(), Priority: int(min(s.GetPriority(), maxPriority)), Kind: boundKind(s.GetKind()),
		})
	}
	return out
}

// ReportToWire converts an agent's report for sending.
func ReportToWire(agent string, incarnation uint64, r runs.Report) *relay.ReportRequest {
	out := &relay.ReportRequest{
		Agent: agent, Incarnation: incarnation, Attachment: r.Attachment, SentAt: r.SentAt,
		Runner:  EndpointStateToWire(r.State),
		Running: RunsToWire(r.Running),
	}
	for i := range r.Ends {
		e := &r.Ends[i]
		out.Ends = append(out.Ends, &relay.End{
			Number: e.Sequence, Run: runToWire(e.Run), How: string(e.Outcome),
			ElapsedMs: e.ElapsedMS, Checkpoint: e.Checkpoint, NeverBegun: e.NeverBegun,
			Beside: besideToWire(e.Beside), BesideKnown: e.BesideKnown,
		})
	}
	for _, c := range r.Crashes {
		out.Crashes = append(out.Crashes, &relay.Crash{Task: c.Task, Endpoint: c.Endpoint, Certain: c.Certain, Alone: c.Alone})
	}
	return out
}

// maxMS bounds a span of time in a message, in milliseconds: 30 days.
const maxMS = 30 * 24 * 3600 * 1000

func boundMS(ms int64) int64 { return min(max(ms, -maxMS), maxMS) }

// EndpointStateFromWire converts the received state of an endpoint. One with amounts out of range gets
// no tasks.
func EndpointStateFromWire(r *relay.Runner) work.EndpointState {
	s := endpointStateFromWire(r)
	if s.Capacity.Check() != nil || s.Used.Check() != nil {
		s.Capacity, s.Used, s.Ready = work.Resources{}, work.Resources{}, false
	}
	return s
}

func endpointStateFromWire(r *relay.Runner) work.EndpointState {
	return work.EndpointState{
		Instance: r.GetInstance(), Service: r.GetService(), Domain: r.GetZone(), Labels: r.GetLabels(),
		Capacity: work.Resources{CPU: r.GetCpu(), MemMB: r.GetMemMb(), GPU: r.GetGpu()},
		Used:     work.Resources{CPU: r.GetUsedCpu(), MemMB: r.GetUsedMemMb(), GPU: r.GetUsedGpu()},
		Ready:    r.GetReady(),
		Kinds:    kindsFromWire(r.GetKinds()),

		UsedByPriority: usedByPriorityFromWire(r.GetUsedByPriority()),
	}
}

const (
	// maxPriority bounds a priority, and maxPriorities the number of priorities in the state of an endpoint.
	maxPriority   = 1 << 20
	maxPriorities = 32
)

func usedByPriorityFromWire(in []*relay.PriorityUse) []work.PriorityUse {
	if len(in) == 0 {
		return nil
	}
	out := make([]work.PriorityUse, 0, min(len(in), maxPriorities))
	for _, u := range in[:min(len(in), maxPriorities)] {
		out = append(out, work.PriorityUse{Priority: int(min(u.GetPriority(), maxPriority)), CPU: min(max(u.GetCpu(), 0), work.MaxResource)})
	}
	return out
}

func usedByPriorityToWire(in []work.PriorityUse) []*relay.PriorityUse {
	out := make([]*relay.PriorityUse, 0, min(len(in), maxPriorities))
	for _, u := range in[:min(len(in), maxPriorities)] {
		out = append(out, &relay.PriorityUse{Priority: uint32(min(max(u.Priority, 0), maxPriority)), Cpu: u.CPU})
	}
	return out
}

// EndpointStateToWire converts the state of an endpoint for sending.
func EndpointStateToWire(s work.EndpointState) *relay.Runner {
	return &relay.Runner{
		Instance: s.Instance, Service: s.Service, Zone: s.Domain, Labels: s.Labels,
		Cpu: s.Capacity.CPU, MemMb: s.Capacity.MemMB, Gpu: s.Capacity.GPU, Ready: s.Ready,
		UsedCpu: s.Used.CPU, UsedMemMb: s.Used.MemMB, UsedGpu: s.Used.GPU,
		UsedByPriority: usedByPriorityToWire(s.UsedByPriority),
		Kinds:          kindsToWire(s.Kinds),
	}
}

// ReportFromWire converts a received report of an agent.
func ReportFromWire(m *relay.ReportRequest) jobs.Report {
	out := jobs.Report{
		Agent: m.GetAgent(), Incarnation: m.GetIncarnation(), Attachment: m.GetAttachment(), SentAt: m.GetSentAt(),
		Running: RunsFromWire(m.GetRunning()),
		State:   EndpointStateFromWire(m.GetRunner()),
	}
	for _, e := range m.GetEnds() {
		out.Ends = append(out.Ends, work.End{
			Sequence: e.GetNumber(), Run: runFromWire(e.GetRun()), Outcome: work.Outcome(e.GetHow()),
			ElapsedMS: max(boundMS(e.GetElapsedMs()), 0), Checkpoint: e.GetCheckpoint(),
			NeverBegun: e.GetNeverBegun(),
			Beside:     besideFromWire(e.GetBeside()), BesideKnown: e.GetBesideKnown(),
		})
	}
	for _, c := range m.GetCrashes() {
		out.Crashes = append(out.Crashes, work.Crash{Task: c.GetTask(), Endpoint: c.GetEndpoint(), Certain: c.GetCertain(), Alone: c.GetAlone()})
	}
	return out
}

// DispatchToWire converts a coordinator's dispatch for sending.
func DispatchToWire(coordinator string, incarnation uint64, d *jobs.Dispatch) *relay.OrderRequest {
	return &relay.OrderRequest{
		Coordinator: coordinator, Incarnation: incarnation, Attachment: d.Attachment, Echo: d.Echo,
		Starts: startsToWire(d.Starts), Stops: RunsToWire(d.Stops), Acked: d.Acked, AckedLife: d.AckedGeneration,
	}
}

// DispatchFromWire converts a received dispatch of a coordinator.
func DispatchFromWire(m *relay.OrderRequest) runs.Dispatch {
	return runs.Dispatch{
		Coordinator: m.GetCoordinator(), Incarnation: m.GetIncarnation(), Attachment: m.GetAttachment(), Echo: m.GetEcho(),
		Starts: startsFromWire(m.GetStarts()), Stops: RunsFromWire(m.GetStops()), Acked: m.GetAcked(), AckedGeneration: m.GetAckedLife(),
	}
}

// RefusedStartsToWire converts refused starts for sending.
func RefusedStartsToWire(in []runs.RefusedStart) []*relay.Refused {
	out := make([]*relay.Refused, 0, len(in))
	for _, r := range in {
		out = append(out, &relay.Refused{Run: runToWire(r.Run), Reason: r.Reason})
	}
	return out
}

// RefusedStartsFromWire converts received refused starts, grouped by reason.
func RefusedStartsFromWire(in []*relay.Refused) map[string][]work.Run {
	out := make(map[string][]work.Run)
	for _, r := range in {
		out[r.GetReason()] = append(out[r.GetReason()], runFromWire(r.GetRun()))
	}
	return out
}
