package work

import "encoding/json"

// Prefixes of the keys of a job's records in the store. The job id follows.
const (
	// KeyJob is the prefix of the record that holds a Job.
	KeyJob = "j"
	// KeyProgress is the prefix of the record that holds a Progress.
	KeyProgress = "s"
	// KeyEnds is the prefix of the record that holds, as a Progress, ends of runs that were reported
	// while the job's progress could not be read. Earlier builds leave it alone.
	KeyEnds = "e"
)

// Progress is the stored progress of an accepted job. The newest record of a job
// holds all of it.
type Progress struct {
	// State is StateQueued until the job has a final state; StateRunning is not
	// stored.
	State State `json:"state"`
	// Queue is the queue's name. It remains after the job's own record is deleted.
	Queue string `json:"queue,omitempty"`
	// Digest is the Digest of the job. It remains like Queue; records of earlier builds lack it.
	Digest uint64 `json:"digest,omitempty"`
	// EndedMS is when the job ended, in milliseconds of Unix time.
	EndedMS int64 `json:"ended_ms,omitempty"`
	// Done lists the tasks that ended with OutcomeDone, as step and index.
	Done [][2]int `json:"done,omitempty"`
	// Failed lists tasks with the number of their runs that ended with
	// OutcomeFailed, as step, index and number.
	Failed [][3]int `json:"failed,omitempty"`
	// FailedRuns lists the latest of these runs, as step, index and run number. Records of earlier
	// builds lack them.
	FailedRuns [][3]int64 `json:"failed_runs,omitempty"`
	// Overdue lists tasks with the number of their runs that were stopped as overdue, as step, index and
	// number. Earlier builds ignore it.
	Overdue [][3]int `json:"overdue,omitempty"`
	// Crashed lists the crashes of endpoints under the job's tasks.
	Crashed []Crash `json:"crashed,omitempty"`
	// Reason is why the job has failed, if not by the outcome of its runs.
	Reason string `json:"reason,omitempty"`
}

// EncodeJob returns the value of a job's record in the store.
func EncodeJob(j *Job) ([]byte, error) {
	b, err := json.Marshal(j)
	if err != nil {
		return nil, invalidf("encode job", "%v", err)
	}
	return b, nil
}

// DecodeJob decodes and checks the value of a job's record in the store.
func DecodeJob(b []byte) (*Job, error) {
	var j Job
	if err := json.Unmarshal(b, &j); err != nil {
		return nil, invalidf("decode job", "%v", err)
	}
	if err := j.Check(); err != nil {
		return nil, err
	}
	return &j, nil
}

// EncodeProgress returns the value of a job's progress record in the store.
func EncodeProgress(p Progress) ([]byte, error) {
	b, err := json.Marshal(p)
	if err != nil {
		return nil, invalidf("encode progress", "%v", err)
	}
	return b, nil
}

// DecodeProgress decodes and checks the value of a job's progress record in the store.
func DecodeProgress(b []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(b, &p); err != nil {
		return Progress{}, invalidf("decode progress", "%v", err)
	}
	if err := checkRows(b); err != nil {
		return Progress{}, err
	}
	if err := p.check(); err != nil {
		return Progress{}, err
	}
	return p, nil
}
