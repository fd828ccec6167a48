package work

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
	return true, errs
}

// HasEnds reports whether there is a record of ends.
func (s *Stored) HasEnds() bool { return s.Ends != nil || s.endsErr != nil }
