package work

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxImageBytes bounds Step.Image.
	MaxImageBytes = 256
	// MaxKindBytes bounds the kind of a task, which messages carry for each run.
	MaxKindBytes = 48
	// MaxBeside bounds the kinds of tasks that a message names beside one run or at one endpoint.
	MaxBeside = 8
)

// Beside is a kind of tasks that ran beside a run.
type Beside struct {
	Kind string
	// Share is the part of the run's time for which a task of the kind ran at the same endpoint, up to 1.
	Share float64
}

// KindLoad is the CPU capacity that tasks of one kind use at an endpoint, in millicores.
type KindLoad struct {
	Kind string
	CPU  int64
}

// TaskKind names the kind of a step's tasks: its image or, without one, the queue and the step's number. Of a
// longer name only the end and a hash remain.
func (j *Job) TaskKind(step int) string {
	name := j.Steps[step].Image
	if name == "" {
		name = j.Queue.Name + "#" + strconv.Itoa(step)
	}
	if len(name) <= MaxKindBytes {
		return name
	}
	hash := strconv.FormatUint(xxhash.Sum64String(name), 16)
	return hash + "~" + name[len(name)-(MaxKindBytes-len(hash)-1):]
}
