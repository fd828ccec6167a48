package work

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies what a job runs: its specification and steps. It is 0 if that can't be encoded.
func (j *Job) Digest() uint64 {
	b, err := json.Marshal(struct {
		Spec  string `json:"spec"`
		Steps []Step `json:"steps"`
	}{j.Spec, j.Steps})
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}
