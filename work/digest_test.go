package work

import "testing"

// Guards against a digest that another build computes differently: the repetition of a job that ended
// under that build would be taken for another job.
func TestDigestIsStable(t *testing.T) {
	j := Job{Spec: "a\u2028<\"", Steps: []Step{
		{Count: 2, Resources: Resources{CPU: 500, MemMB: 64}, EstimateMS: 900, Rack: "r1"},
		{Count: 3, Resources: Resources{GPU: 1}, After: []int{0}, Label: "b", MaxPerEndpoint: 2, Checkpoints: true},
	}}
	const want = uint64(13893938451987077268)
	if got := j.Digest(); got != want {
		t.Errorf("digest %d, want %d", got, want)
	}
	other := j
	other.ID, other.Epoch, other.AcceptedMS, other.Queue = "1", 2, 3, Queue{Name: "q", Priority: 1}
	other.Steps = []Step{j.Steps[0], j.Steps[1]}
	other.Steps[0].After = []int{}
	if got := other.Digest(); got != want {
		t.Errorf("digest %d of a repetition, want %d", got, want)
	}
	other.Steps[0].Count = 1
	if other.Digest() == want {
		t.Error("another job has the same digest")
	}
}
