package admit_test

import (
	"fmt"
	"runtime"
	"testing"

	"carobpulley"
	"carobpulley/admit"
)

func fill(members, tasks int) *admit.Admitter {
	a := admit.New(endpoints{})
	all := make([]carobpulley.Member, 0, members)
	for i := range members {
		all = append(all, carobpulley.Member{Name: fmt.Sprint("m", i), StartsPerSecond: 1e9})
	}
	a.Configure(start, catalogue(all...))
	for i := range tasks {
		k := i / members
		a.Push(start, waiting(all[i%members].Name, carobpulley.Classes()[k/100%3], k/100, k%100, start))
	}
	return a
}

// Guards against a decision that scans all members.
func BenchmarkNext(b *testing.B) {
	for _, members := range []int{1, 47, 470} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			a := fill(members, 100_000)
			b.ReportAllocs()
			for b.Loop() {
				w, _ := a.Next(start, allReady)
				a.Done(start, w)
				a.Push(start, w)
			}
		})
	}
}

// Guards against a cancellation that scans other jobs: the time per dropped job
// must not grow with the length of the queue.
func BenchmarkDrop(b *testing.B) {
	for _, jobs := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			a := fill(47, 0)
			for k := range jobs {
				a.Push(start, waiting("m1", carobpulley.ClassBulk, k, 0, start))
			}
			b.ReportAllocs()
			k := 0
			for b.Loop() {
				a.Drop(start, jobOf("m1", k%jobs))
				a.Push(start, waiting("m1", carobpulley.ClassBulk, k%jobs, 0, start))
				k += 7919
			}
		})
	}
}

// Reports the memory per queued task in jobs of 10 tasks.
func BenchmarkQueuedTaskBytes(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		a := fill(47, 0)
		for i := range n {
			a.Push(start, waiting("m1", carobpulley.ClassBulk, i/10, i%10, start))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/task")
		runtime.KeepAlive(a)
	}
}
