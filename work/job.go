package work

import (
	"strconv"
	"strings"
	"time"
)

// Limits of a submission. The platform's protocol page gives the length of the
// specification; the others bound the memory that one job can take.
const (
	// MaxSpecBytes bounds Job.Spec.
	MaxSpecBytes = 4000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 64
	// MaxTasks bounds the tasks of a job over all steps.
	MaxTasks = 4096
	// IDLength is the number of hexadecimal digits of a job id.
	IDLength = 16
)

// Resources is the room that one task takes on a runner.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// MemMB is in megabytes.
	MemMB int64 `json:"mem_mb,omitempty"`
	// GPU is a number of accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

// Add returns the sum of two needs.
func (n Resources) Add(m Resources) Resources {
	return Resources{n.CPU + m.CPU, n.MemMB + m.MemMB, n.GPU + m.GPU}
}

// Sub returns the difference of two needs.
func (n Resources) Sub(m Resources) Resources {
	return Resources{n.CPU - m.CPU, n.MemMB - m.MemMB, n.GPU - m.GPU}
}

// Fits reports whether n is at most room in every dimension.
func (n Resources) Fits(room Resources) bool {
	return n.CPU <= room.CPU && n.MemMB <= room.MemMB && n.GPU <= room.GPU
}

// Step is a group of equal tasks.
type Step struct {
	Count     int       `json:"count"`
	Resources Resources `json:"need"`
	// EstimateMS is the caller's rough estimate of one task's duration in
	// milliseconds; 0 if there is none.
	EstimateMS int64 `json:"estimate_ms,omitempty"`
	// After lists earlier steps that must be done before this one starts.
	After []int `json:"after,omitempty"`
	// Label must be among the labels of the runner; empty means any.
	Label string `json:"label,omitempty"`
	// Rack is where the data is; empty means anywhere.
	Rack string `json:"rack,omitempty"`
	// Spread is the most tasks of the step on one runner; 0 means no limit.
	Spread int `json:"spread,omitempty"`
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
}

// Queue is the part of a queue's configuration that a job is run by.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Priority 0 comes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the runs of a task that may end as failed.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Stretch times the longest chain of estimates, and TargetMS more, is the
	// objective of a job's response time.
	Stretch  float64 `json:"stretch,omitempty"`
	TargetMS int64   `json:"target_ms,omitempty"`
}

// Job is a submission.
type Job struct {
	ID    string `json:"id"`
	Queue Queue  `json:"queue"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// BestEffort is set for a job that is not kept in the store. Its caller waits for
	// its end, and submits it again if it gets no answer.
	BestEffort bool `json:"volatile,omitempty"`
	// Epoch is the ownership epoch in which the job was accepted.
	Epoch uint64 `json:"epoch,omitempty"`
	// AcceptedMS is the owner's time of acceptance, in milliseconds of Unix time.
	AcceptedMS int64 `json:"accepted_ms,omitempty"`
}

// CriticalPath returns the longest sum of estimates along the order of the steps.
func (j *Job) CriticalPath() time.Duration {
	longest := make([]int64, len(j.Steps))
	var most int64
	for i := range j.Steps {
		var before int64
		for _, a := range j.Steps[i].After {
			before = max(before, longest[a])
		}
		longest[i] = before + j.Steps[i].EstimateMS
		most = max(most, longest[i])
	}
	return time.Duration(most) * time.Millisecond
}

// Objective returns the response time that the queue's configuration aims at.
func (j *Job) Objective() time.Duration {
	stretch := max(j.Queue.Stretch, 1)
	chain := time.Duration(float64(j.CriticalPath()) * stretch)
	return chain + time.Duration(j.Queue.TargetMS)*time.Millisecond
}

// Tasks returns the number of tasks over all steps.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// TaskName returns the name by which a runner knows a task of a job without
// repeated occurrences.
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

// ParseTaskName splits the name of a task.
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

// JobOfTask returns the job id of a task's name, or an empty string.
func JobOfTask(name string) string {
	job, _, found := strings.Cut(name, ".")
	if !found {
		return ""
	}
	return job
}
