package work

import (
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const goodJob = `{"id":"0123456789abcdef","queue":{"name":"q","service":"s"},"spec":"x","steps":[{"count":2,"need":{"cpu":500},"estimate_ms":100}]}`

// oddJobs are jobs as another writer may leave them, as replacements in goodJob.
var oddJobs = map[string][2]string{
	"largest need":         {`"cpu":500`, `"cpu":9223372036854775807`},
	"largest memory":       {`"cpu":500`, `"mem_mb":9223372036854775807`},
	"largest estimate":     {`"estimate_ms":100`, `"estimate_ms":9223372036854775807`},
	"largest count":        {`"count":2`, `"count":9223372036854775807`},
	"count with exponent":  {`"count":2`, `"count":2e0`},
	"need beyond the type": {`"cpu":500`, `"cpu":1e400`},
	"fraction":             {`"cpu":500`, `"cpu":0.5`},
	"largest epoch":        {`"spec"`, `"epoch":18446744073709551615,"spec"`},
	"negative time":        {`"spec"`, `"accepted_ms":-1,"spec"`},
	"deep nesting":         {`{"cpu":500}`, deep},
}

// Guards against a job whose numbers overflow in sums over its tasks and steps.
func TestOddJobsAreRefused(t *testing.T) {
	for name, odd := range oddJobs {
		if j, err := DecodeJob([]byte(strings.Replace(goodJob, odd[0], odd[1], 1))); err == nil {
			t.Errorf("%s: taken: %+v", name, j)
		}
	}
}

// Guards against a queue's numbers that overflow in the objective of its jobs, which are then late at
// once.
func TestObjectiveIsBounded(t *testing.T) {
	j, err := DecodeJob([]byte(goodJob))
	if err != nil {
		t.Fatal(err)
	}
	for _, q := range []Queue{{Stretch: 1e300}, {TargetMS: math.MaxInt64}, {Stretch: math.Inf(1), TargetMS: math.MaxInt64}} {
		j.Queue = q
		if got := j.Objective(); got != MaxObjective {
			t.Errorf("%+v: objective %s, want %s", q, got, MaxObjective)
		}
	}
}

// Guards against a sum that overflows, so that a run fits a full endpoint.
func TestSumsOfResourcesDontOverflow(t *testing.T) {
	most := Resources{CPU: math.MaxInt64, MemMB: math.MaxInt64, GPU: math.MaxInt64}
	if diff := cmp.Diff(most, most.Add(Resources{CPU: 1, MemMB: 2, GPU: math.MaxInt64})); diff != "" {
		t.Errorf("sum (-want +got):\n%s", diff)
	}
	if most.Add(Resources{CPU: 1}).Fits(Resources{CPU: 1000}) {
		t.Error("a sum beyond the type fits")
	}
}

// Guards against a stored job or progress that ends the process, or whose sums overflow.
func FuzzJob(f *testing.F) {
	f.Add([]byte(goodJob))
	f.Add([]byte(`{"state":"queued","done":[[0,-1],[9223372036854775807,0]],"failed":[[0,0,-5]],"ended_ms":9223372036854775807}`))
	for _, odd := range oddJobs {
		f.Add([]byte(strings.Replace(goodJob, odd[0], odd[1], 1)))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if j, err := DecodeJob(value); err == nil && (j.CPU() < 0 || j.CriticalPath() < 0 || j.Objective() > MaxObjective || j.Tasks() < 1) {
			t.Errorf("job %+v", j)
		}
		if p, err := DecodeProgress(value); err == nil && (p.State == StateRunning || !p.State.Known()) {
			t.Errorf("progress %+v", p)
		}
	})
}
