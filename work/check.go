package work

// CheckID returns an error unless id is a job id: 16 hexadecimal digits.
func CheckID(id string) error {
	if len(id) != IDLength {
		return invalidf("job id", "%q has not %d digits", id, IDLength)
	}
	for _, c := range id {
		digit := c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !digit {
			return invalidf("job id", "%q is not hexadecimal", id)
		}
	}
	return nil
}

// Check returns an error unless every amount is from 0 to MaxResource, so that sums over the tasks of a
// job or the endpoints of a fleet don't overflow.
func (r Resources) Check() error {
	if min(r.CPU, r.MemMB, r.GPU) < 0 || max(r.CPU, r.MemMB, r.GPU) > MaxResource {
		return invalidf("resources", "%+v is out of range", r)
	}
	return nil
}

// Check returns an error unless the job is well-formed and within the limits of
// this package.
func (j *Job) Check() error {
	if err := CheckID(j.ID); err != nil {
		return err
	}
	if len(j.Spec) > MaxSpecBytes {
		return invalidf("job", "specification of %d bytes, more than %d", len(j.Spec), MaxSpecBytes)
	}
	if j.Epoch > MaxEpoch || j.AcceptedMS < 0 {
		return invalidf("job", "epoch %d or time %d is out of range", j.Epoch, j.AcceptedMS)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return invalidf("job", "%d steps, not 1 to %d", len(j.Steps), MaxSteps)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
		if tasks > MaxTasks {
			return invalidf("job", "more than %d tasks", MaxTasks)
		}
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return invalidf("step", "step %d has %d tasks", number, s.Count)
	}
	if err := s.Resources.Check(); err != nil {
		return err
	}
	if s.EstimateMS < 0 || s.EstimateMS > MaxEstimateMS || s.MaxPerEndpoint < 0 {
		return invalidf("step", "step %d has an estimate or spread out of range", number)
	}
	if len(s.Image) > MaxImageBytes {
		return invalidf("step", "step %d has an image of %d bytes, more than %d", number, len(s.Image), MaxImageBytes)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return invalidf("step", "step %d is after step %d", number, a)
		}
	}
	return nil
}
