package work

import (
	"encoding/json"
	"math"
	"slices"
)

// Stored holds what the store has of a job.
type Stored struct {
	ID string
	// Job and Progress are nil if there is no such record, or if it can't be read.
	Job      *Job
	Progress *Progress
	Ends     *Progress

	jobErr, progressErr, endsErr error
}

// Read reads a record of the job, which replaces an earlier one of its kind.
func (s *Stored) Read(prefix string, value []byte) {
	if prefix == KeyJob {
		s.Job, s.jobErr = DecodeJob(value)
		if s.jobErr == nil && s.Job.ID != s.ID {
			s.jobErr = invalidf("job", "the record is that of %s", s.Job.ID)
		}
		if s.jobErr != nil {
			s.Job = nil
		}
		return
	}
	p, err := DecodeProgress(value)
	read := &p
	if err != nil {
		read = nil
	}
	if prefix == KeyEnds {
		s.Ends, s.endsErr = read, err
	} else {
		s.Progress, s.progressErr = read, err
	}
}

// Check reports whether the records tell the job's state and which of its tasks have ended, or that there
// is no such job, and returns what is wrong with them. The progress of an ended job tells all of that
// alone.
func (s *Stored) Check() (readable bool, errs []error) {
	if s.jobErr != nil {
		errs = append(errs, invalidf("stored job", "%s: %v", s.ID, s.jobErr))
	}
	if s.progressErr != nil {
		return false, append(errs, invalidf("stored progress", "%s: %v", s.ID, s.progressErr))
	}
	if s.endsErr != nil {
		errs = append(errs, invalidf("stored ends", "%s: %v", s.ID, s.endsErr))
	}
	switch {
	case s.Progress != nil && s.Progress.State.Ended():
		return true, errs
	case s.Job == nil && s.jobErr == nil && s.Progress == nil:
		return true, errs
	case s.jobErr != nil || s.endsErr != nil:
		return false, errs
	case s.Progress == nil:
		return true, errs
	case s.Job == nil:
		return false, append(errs, invalidf("stored job", "%s: only its progress is stored", s.ID))
	}
	if err := s.Progress.checkTasks(s.Job); err != nil {
		return false, append(errs, err)
	}
	return true, errs
}

// HasEnds reports whether there is a record of ends.
func (s *Stored) HasEnds() bool { return s.Ends != nil || s.endsErr != nil }

// checkTasks returns an error if the progress names tasks that the job doesn't have.
func (p *Progress) checkTasks(j *Job) error {
	for _, d := range p.Done {
		if !j.hasTask(d[0], d[1]) {
			return invalidf("stored progress", "%s: no task %v", j.ID, d)
		}
	}
	if err := j.checkCounts("failures", p.Failed); err != nil {
		return err
	}
	if err := j.checkCounts("overdue runs", p.Overdue); err != nil {
		return err
	}
	for _, f := range p.FailedRuns {
		if !j.hasTask(int(f[0]), int(f[1])) || f[2] < 1 {
			return invalidf("stored progress", "%s: no failed run %v", j.ID, f)
		}
	}
	for _, c := range p.Crashed {
		if JobOfTask(c.Task) != j.ID {
			return invalidf("stored progress", "%s: a crash under the task %.100q", j.ID, c.Task)
		}
	}
	return nil
}

// checkCounts returns an error if a row of step, index and number names no task of the job or is no count.
func (j *Job) checkCounts(what string, rows [][3]int) error {
	for _, r := range rows {
		if !j.hasTask(r[0], r[1]) || r[2] < 1 || r[2] > math.MaxInt32 {
			return invalidf("stored progress", "%s: no %s %v", j.ID, what, r)
		}
	}
	return nil
}

func (j *Job) hasTask(step, index int) bool {
	return step >= 0 && step < len(j.Steps) && index >= 0 && index < j.Steps[step].Count
}

// check returns an error unless the progress has a state that is stored.
func (p *Progress) check() error {
	if p.State != StateQueued && !p.State.Ended() {
		return invalidf("progress", "the state %.100q is none", p.State)
	}
	if p.State.Ended() && p.EndedMS <= 0 {
		return invalidf("progress", "the end %d is out of range", p.EndedMS)
	}
	return nil
}

// checkRows returns an error if a row of numbers has another length than that of its field: the decoder
// takes the numbers that are missing for 0, which is the first task.
func checkRows(b []byte) error {
	var rows struct {
		Done       [][]*int64 `json:"done"`
		Failed     [][]*int64 `json:"failed"`
		FailedRuns [][]*int64 `json:"failed_runs"`
		Overdue    [][]*int64 `json:"overdue"`
	}
	if err := json.Unmarshal(b, &rows); err != nil {
		return invalidf("decode progress", "%v", err)
	}
	for length, list := range map[int][][]*int64{2: rows.Done, 3: slices.Concat(rows.Failed, rows.FailedRuns, rows.Overdue)} {
		for _, row := range list {
			whole := len(row) == length
			for _, n := range row {
				whole = whole && n != nil
			}
			if !whole {
				return invalidf("progress", "a row of %d numbers, want %d", len(row), length)
			}
		}
	}
	return nil
}
