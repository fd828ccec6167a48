package work

import (
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies what a job runs: its specification and steps. It is 0 if that can't be encoded. Images
// are left out: they change nothing about what runs, and an earlier build, which doesn't know them, has
// to find the same digest.
func (j *Job) Digest() uint64 {
	steps := slices.Clone(j.Steps)
	for i := range steps {
		steps[i].Image = ""
	}
	b, err := json.Marshal(struct {
		Spec  string `json:"spec"`
		Steps []Step `json:"steps"`
	}{j.Spec, steps})
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}
