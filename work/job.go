package work

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Limits of a submission. The platform's protocol defines the length of the
// specification; the other limits bound the memory that one job can take.
const (
	// MaxSpecBytes bounds Job.Spec.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 64
	// MaxTasks bounds the tasks of a job over all steps.
	MaxTasks = 4096
	// MaxResource bounds each amount of Resources, in the unit of that resource.
	MaxResource = 1 << 40
	// MaxEstimateMS bounds the estimated duration of a task, in milliseconds: 7 days.
	MaxEstimateMS = 7 * 24 * 3600 * 1000
	// MaxObjective bounds the objective of a job's response time.
	MaxObjective = 30 * 24 * time.Hour
	// IDLength is the number of hexadecimal digits of a job id.
	IDLength = 16
)

// Resources is an amount of each resource: what a task needs, or what an endpoint
// has.
type Resources struct {
	// CPU is in thousandths of a core (millicores).
	CPU int64 `json:"cpu,omitempty"`
	// MemMB is in megabytes.
	MemMB int64 `json:"mem_mb,omitempty"`
	// GPU is a number of accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

// Add returns the sum of r and other. Sums beyond the type stay at its limit.
func (r Resources) Add(other Resources) Resources {
	return Resources{addSaturated(r.CPU, other.CPU), addSaturated(r.MemMB, other.MemMB), addSaturated(r.GPU, other.GPU)}
}

func addSaturated(a, b int64) int64 {
	switch {
	case b > 0 && a > math.MaxInt64-b:
		return math.MaxInt64
	case b < 0 && a < math.MinInt64-b:
		return math.MinInt64
	}
	return a + b
}

// Sub returns the difference of r and other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.MemMB - other.MemMB, r.GPU - other.GPU}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPU <= free.GPU
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count     int       `json:"count"`
	Resources Resources `json:"need"`
	// EstimateMS is the caller's rough estimate of one task's duration in
	// milliseconds; 0 if there is none.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// After lists earlier steps that must be done before this one starts.
	After []int `json:"after,omitempty"`
	// Label must be among the labels of the endpoint; empty means any.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the step's data; empty means any.
	Rack string `json:"rack,omitempty"`
	// MaxPerEndpoint limits the tasks of the step on one endpoint; 0 means no limit.
	MaxPerEndpoint int `json:"spread,omitempty"`
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Image names what the tasks run: those of one image behave alike. It may be empty.
	Image string `json:"image,omitempty"`
}

// Queue is the part of a queue's configuration that applies to its jobs.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Priority 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the number of failed runs of a task.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Stretch and TargetMS define the objective of a job's response time: Stretch
	// times the estimated critical path, plus TargetMS.
	Stretch  float64 `json:"stretch,omitempty"`
	TargetMS int64   `json:"target_ms,omitempty"`
}

// Job is a submission.
type Job struct {
	ID    string `json:"id"`
	Queue Queue  `json:"queue"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// BestEffort is set for a job that is not stored, in contrast to a durable job. Its
	// caller waits for the end of the job, and submits it again if no answer arrives.
	BestEffort bool `json:"volatile,omitempty"`
	// Epoch is the ownership epoch in which the job was accepted.
	Epoch uint64 `json:"epoch,omitempty"`
	// AcceptedMS is when the owner accepted the job, in milliseconds of Unix time.
	AcceptedMS int64 `json:"accepted_ms,omitempty"`
	// SubmittedAt is the time at which the submission of a best-effort job arrived; zero if that is not known.
	SubmittedAt time.Time `json:"-"`
	// AnswerBy is the time until which the caller of a best-effort job waits; zero if unknown.
	AnswerBy time.Time `json:"-"`
}

// CriticalPath returns the longest sum of estimates along the dependencies of the
// steps.
func (j *Job) CriticalPath() time.Duration {
	longest := make([]int64, len(j.Steps))
	var total int64
	for i := range j.Steps {
		var before int64
		for _, a := range j.Steps[i].After {
			before = max(before, longest[a])
		}
		longest[i] = before + j.Steps[i].EstimateMS
		total = max(total, longest[i])
	}
	return time.Duration(total) * time.Millisecond
}

// Objective returns the response time that the queue's configuration sets as the
// target for the job.
func (j *Job) Objective() time.Duration {
	stretch := max(j.Queue.Stretch, 1)
	objective := float64(j.CriticalPath())*stretch + float64(j.Queue.TargetMS)*float64(time.Millisecond)
	return time.Duration(min(objective, float64(MaxObjective)))
}

// Tasks returns the number of tasks over all steps.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// CPU returns the CPU capacity that all tasks need together, in millicores.
func (j *Job) CPU() int64 {
	var sum int64
	for i := range j.Steps {
		sum += int64(j.Steps[i].Count) * j.Steps[i].Resources.CPU
	}
	return sum
}

// TaskName returns the name of a task at endpoints, for a job without repeated
// occurrences: the part after the job id, the occurrence, is 0.
func TaskName(job string, step, index int) string {
	var b strings.Builder
	b.Grow(len(job) + len(".0.00.0000"))
	b.WriteString(job)
	b.WriteString(".0.")
	b.WriteString(strconv.Itoa(step))
	b.WriteByte('.')
	b.WriteString(strconv.Itoa(index))
	return b.String()
}

// ParseTaskName splits a task's name into its parts.
func ParseTaskName(name string) (job string, step, index int, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" || parts[1] != "0" {
		return "", 0, 0, invalidf("task name", "%q is not a task name", name)
	}
	step, err = strconv.Atoi(parts[2])
	if err != nil {
		return "", 0, 0, invalidf("task name", "step of %q: %v", name, err)
	}
	index, err = strconv.Atoi(parts[3])
	if err != nil {
		return "", 0, 0, invalidf("task name", "index of %q: %v", name, err)
	}
	return parts[0], step, index, nil
}

// JobOfTask returns the job id in a task's name, or an empty string.
func JobOfTask(name string) string {
	job, _, found := strings.Cut(name, ".")
	if !found {
		return ""
	}
	return job
}
