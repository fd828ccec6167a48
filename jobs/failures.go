package jobs

import "slices"

// maxFailedRuns bounds the numbers of failed runs that are kept for each task, so that the progress of a
// job with many failures stays within the size of a record.
const maxFailedRuns = 16

// failures counts the failed runs of a task. Their numbers tell a new failure from an end that is
// reported again: agents repeat an end until it is acknowledged, also to the next owner.
type failures struct {
	count int
	// runs holds the numbers of the latest of these runs, without those that a record of an earlier
	// build counts.
	runs []int64
}

// includes reports whether a run is counted. The runs of a task's first owner are numbered from 1, so
// numbers up to the count of runs with unknown numbers belong to these.
func (f *failures) includes(run int64) bool {
	return slices.Contains(f.runs, run) || run <= int64(f.count-len(f.runs))
}

// add counts a run once.
func (f *failures) add(run int64) {
	if f.includes(run) {
		return
	}
	f.count++
	f.runs = append(f.runs, run)
	if len(f.runs) > maxFailedRuns {
		f.runs = slices.Delete(f.runs, 0, 1)
	}
}
