package admit

import (
	"fmt"
	"time"

	"carobpulley"
)

const (
	// maxQueued bounds the tasks queued at an entry. maxMemberQueued bounds those
	// of one member, so that no member can use up the whole queue.
	maxQueued       = 1 << 18
	maxMemberQueued = 1 << 17
	// overloadRetryAfter is the time after which callers are asked to try again
	// when the queue is full.
	overloadRetryAfter = time.Second
)

const opAdmit = "admit"

func refuse(kind carobpulley.Kind, format string, args ...any) *carobpulley.Error {
	return &carobpulley.Error{Op: opAdmit, Kind: kind, Msg: fmt.Sprintf(format, args...), NotRun: true}
}

// Admit implements carobpulley.Admitter.
func (a *Admitter) Admit(now time.Time, spec carobpulley.JobSpec) error {
	if err := checkFeasible(now, a.catalogue, a.estimator, spec); err != nil {
		return err
	}
	if err := a.checkQueue(now, spec); err != nil {
		return err
	}
	if err := a.checkQuota(now, spec); err != nil {
		return err
	}
	return a.checkDeadline(now, spec)
}

// checkFeasible refuses a job that can never run.
func checkFeasible(now time.Time, c *carobpulley.Catalogue, e Estimator, spec carobpulley.JobSpec) error {
	s, ok := c.Services[spec.Service]
	if !ok {
		return refuse(carobpulley.KindImpossible, "service %q is not in the catalogue", spec.Service)
	}
	if s.Member != "" && s.Member != spec.ID.Member {
		return refuse(carobpulley.KindForbidden, "service %q belongs to another member", spec.Service)
	}
	n, limit := len(spec.Payloads), maxTasks(s)
	if n == 0 {
		return refuse(carobpulley.KindInvalid, "the job has no tasks")
	}
	if n > limit {
		return refuse(carobpulley.KindImpossible, "the job has %d tasks, service %q takes at most %d", n, s.Name, limit)
	}
	if !now.Before(spec.Deadline) {
		return refuse(carobpulley.KindImpossible, "the deadline has passed")
	}
	if !e.CanRun(spec.Service) {
		return refuse(carobpulley.KindImpossible, "no endpoint runs service %q", spec.Service)
	}
	if least, left := e.MinRunTime(spec.Service), spec.Deadline.Sub(now); left < least {
		return refuse(carobpulley.KindImpossible, "the deadline is in %v, a task of service %q takes at least %v",
			left, spec.Service, least)
	}
	return nil
}

func maxTasks(s carobpulley.Service) int {
	if s.MaxTasks <= 0 {
		return carobpulley.MaxTasks
	}
	return min(s.MaxTasks, carobpulley.MaxTasks)
}

func (a *Admitter) checkQueue(now time.Time, spec carobpulley.JobSpec) error {
	n := len(spec.Payloads)
	if a.queued+n > maxQueued {
		err := refuse(carobpulley.KindOverload, "%d tasks are queued, at most %d are taken", a.queued, maxQueued)
		err.RetryAt = now.Add(overloadRetryAfter)
		return err
	}
	if m := a.member(now, spec.ID.Member); m.queued+n > maxMemberQueued {
		err := refuse(carobpulley.KindQuota, "%d tasks of member %q are queued, at most %d are taken",
			m.queued, spec.ID.Member, maxMemberQueued)
		err.RetryAt = now.Add(overloadRetryAfter)
		return err
	}
	return nil
}

// checkQuota refuses a job whose last task cannot start before the deadline
// within the member's quota of starts per second.
func (a *Admitter) checkQuota(now time.Time, spec carobpulley.JobSpec) error {
	m := a.member(now, spec.ID.Member)
	if m.bucket == nil {
		return nil
	}
	missing := float64(m.queued+len(spec.Payloads)) - m.bucket.TokensAt(now)
	wait := time.Duration(missing / float64(m.bucket.Limit()) * float64(time.Second))
	late := now.Add(wait).Sub(spec.Deadline)
	if late <= 0 {
		return nil
	}
	err := refuse(carobpulley.KindQuota, "the quota of member %q lets the last task start %v after the deadline",
		spec.ID.Member, late)
	err.RetryAt = now.Add(late)
	return err
}

// checkDeadline refuses a job whose last task is estimated to start after the
// deadline, because the work done on its other tasks would be wasted.
func (a *Admitter) checkDeadline(now time.Time, spec carobpulley.JobSpec) error {
	idle := a.estimator.Expect(now, spec.Service, 0)
	if idle.IsZero() {
		return nil
	}
	ahead := a.tasksAhead(spec)
	wait := a.estimator.Expect(now, spec.Service, ahead).Sub(idle)
	late := now.Add(wait).Sub(spec.Deadline)
	if late <= 0 {
		return nil
	}
	err := refuse(carobpulley.KindOverload, "the last task is expected to start %v after the deadline", late)
	err.RetryAt = now.Add(late)
	return err
}

// tasksAhead estimates how many tasks start before the last one of the job. Of the
// tasks of other members and classes, it counts only those that fair queueing starts
// before that one.
func (a *Admitter) tasksAhead(spec carobpulley.JobSpec) int {
	ownClass, ok := a.classes[a.catalogue.Services[spec.Service].Class]
	if !ok {
		ownClass = a.classes[carobpulley.ClassNormal]
	}
	memberTasks, weight := len(spec.Payloads)-1, 1.0
	othersWeight := ownClass.activeWeight
	if f, ok := ownClass.flows[spec.ID.Member]; ok {
		memberTasks += f.queued
		weight = f.weight()
		if f.queued > 0 {
			othersWeight -= weight
		}
	}
	othersTasks := ownClass.queued - memberTasks + len(spec.Payloads) - 1
	ahead := float64(memberTasks) + min(float64(othersTasks), float64(memberTasks+1)*othersWeight/weight)
	total := ahead
	for _, c := range a.classOrder {
		if c != ownClass {
			total += min(float64(c.queued), (ahead+1)*c.weight/ownClass.weight)
		}
	}
	return int(total)
}
