//go:build review

package main

import (
	"errors"
	"time"

	"carobpulley/work"
)

// rackSize is the number of runners of a rack on the grown sites. The last one of 25 is alone in its rack.
const rackSize = 8

func init() {
	scenarios["unreached"] = scenario{shape: shape{coordinators: 9, agents: 25, labels: racks}, play: playUnreached}
}

// racks returns a runner's kind and rack.
func racks(n int) []string {
	kind := "a"
	if n%3 == 2 {
		kind = "b"
	}
	return []string{kind, "r1-" + string(rune('0'+n/rackSize))}
}

// playUnreached crashes the only runner of a rack while a stored job that needs the rack is at work there. Nothing
// else is submitted, so the job has to go on once the runner is back.
func playUnreached(f *fleet, trouble bool) (bool, error) {
	last := len(f.runners) - 1
	j := newJob("00000000000000d1", 1, 6200, 3*time.Second, racks(last)[1])
	accepted, err := f.submit(3, j)
	if err != nil || !accepted {
		return false, errors.Join(err, errors.New("the job was not accepted"))
	}
	lastSent := time.Now()
	if _, err := f.awaitRun(work.TaskName(j.ID, 0, 0), 5*time.Second); err != nil {
		return false, err
	}
	back := time.Now()
	if trouble {
		time.Sleep(time.Second)
		f.runners[last].crash()
		time.Sleep(downTime)
		if err := f.runners[last].restart(); err != nil {
			return false, err
		}
		back = time.Now()
	}
	return f.restsIdle(j, 4, lastSent, back), nil
}
