package emul

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"carobpulley"
	"carobpulley/holds"
	"carobpulley/link"
	"carobpulley/wire/relay"
	"carobpulley/work"
)

// sixSpec has coordinators enough that an id's replicas are a part of them.
func sixSpec(run time.Duration) Spec {
	spec := homesSpec(run)
	spec.Coordinators = 6
	spec.Capacity = work.Resources{CPU: 640_000, MemMB: 1_000_000}
	spec.Behavior = func(s work.Start) (time.Duration, work.Outcome) {
		if s.Run.Task[:16] >= jobID(1000) {
			return 50 * time.Millisecond, work.OutcomeDone
		}
		return run, work.OutcomeDone
	}
	return spec
}

// keepAsking has coordinators ask for new ids all the time, so that each finds out soon who does not answer.
func (f *Fleet) keepAsking(first int, until time.Time, at ...int) {
	for n := first; time.Now().Before(until); n += len(at) {
		for k, c := range at {
			go f.submitUntil(c, testJob(n+k, true, 1), 300*time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against two runs of a task at a time if two replicas end while the job of a third coordinator,
// which goes on, runs: two members that know of no hold take their place.
func TestTwoReplicasEndUnderARunningJob(t *testing.T) {
	for _, after := range []time.Duration{700, 1300, 1400, 1600, 1800, 2200} {
		after *= time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			runFleet(t, sixSpec(6*time.Second), func(_ *testing.T, f *Fleet) {
				f.warmUp()
				var wg sync.WaitGroup
				for n := range 40 {
					wg.Go(func() { f.submitUntil(0, longJob(n, 1), 600*time.Millisecond+after+100*time.Millisecond) })
				}
				time.Sleep(600 * time.Millisecond)
				f.coordinator(4).Kill()
				f.coordinator(5).Kill()
				wg.Go(func() { f.keepAsking(10_000, time.Now().Add(after+time.Second), 1) })
				time.Sleep(after)
				for n := range 40 {
					wg.Go(func() { f.submitUntil(1, longJob(n, 1), 2*time.Second) })
				}
				wg.Wait()
			})
		})
	}
}

// Guards against two runs of a task at a time if all replicas of an id begin anew within a second, while the
// process that holds it goes on.
func TestAllReplicasRestartUnderARunningJob(t *testing.T) {
	for _, after := range []time.Duration{50, 100, 200, 300, 400, 600, 900} {
		after *= time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			runFleet(t, sixSpec(6*time.Second), func(_ *testing.T, f *Fleet) {
				f.warmUp()
				var wg sync.WaitGroup
				for n := range 40 {
					wg.Go(func() { f.submitUntil(0, longJob(n, 1), 700*time.Millisecond+after+100*time.Millisecond) })
				}
				time.Sleep(600 * time.Millisecond)
				for _, n := range []int{3, 4, 5} {
					f.coordinator(n).Kill()
				}
				time.Sleep(100 * time.Millisecond)
				for _, n := range []int{3, 4, 5} {
					f.StartCoordinator(n)
				}
				time.Sleep(after)
				for n := range 40 {
					wg.Go(func() { f.submitUntil(1, longJob(n, 1), 2*time.Second) })
				}
				wg.Wait()
			})
		})
	}
}

// Guards against two runs of a task at a time after a coordinator was cut off from all hosts: it has left the
// others out, and grants ids to itself until it probes them.
func TestCoordinatorIsBackAfterACutFromAll(t *testing.T) {
	for _, cut := range []time.Duration{2000, 5000} {
		for _, after := range []time.Duration{30, 100, 300, 600} {
			cut, after := cut*time.Millisecond, after*time.Millisecond
			t.Run(cut.String()+"/"+after.String(), func(t *testing.T) {
				runFleet(t, sixSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
					f.warmUp()
					f.isolate(0, true)
					f.cutFromAgents(0, true, true, true)
					var wg sync.WaitGroup
					wg.Go(func() { f.keepAsking(10_000, time.Now().Add(cut), 0, 1, 2) })
					time.Sleep(cut)
					f.isolate(0, false)
					f.cutFromAgents(0, true, true, false)
					time.Sleep(after)
					wg.Go(func() { f.sendToTwo(0, 40, 1, 400*time.Millisecond) })
					wg.Wait()
				})
			})
		}
	}
}

// Guards against two runs of a task at a time as a coordinator that has just begun is cut off from all hosts for a
// moment: it leaves the others out at once, and grants ids to itself.
func TestCoordinatorBeginsWhileItIsCutOff(t *testing.T) {
	for _, healed := range []time.Duration{300, 600, 900, 1200} {
		for _, after := range []time.Duration{5, 30, 60, 200, 400} {
			healed, after := healed*time.Millisecond, after*time.Millisecond
			t.Run(healed.String()+"/"+after.String(), func(t *testing.T) {
				runFleet(t, sixSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
					f.warmUp()
					f.coordinator(0).Kill()
					time.Sleep(2 * time.Second)
					f.StartCoordinator(0)
					time.Sleep(100 * time.Millisecond) // it has read who the others are
					f.isolate(0, true)
					f.cutFromAgents(0, true, true, true)
					var wg sync.WaitGroup
					wg.Go(func() { f.keepAsking(10_000, time.Now().Add(healed), 0, 1, 2) })
					time.Sleep(healed)
					f.isolate(0, false)
					f.cutFromAgents(0, true, true, false)
					time.Sleep(after)
					wg.Go(func() { f.sendToTwo(0, 40, 1, 400*time.Millisecond) })
					wg.Wait()
				})
			})
		}
	}
}

// Guards against two runs of a task at a time if a coordinator that hears nothing of the store does not know the
// newer coordinators.
func TestCoordinatorDoesNotKnowNewOnes(t *testing.T) {
	runFleet(t, sixSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
		f.warmUp()
		f.coordinator(1).Store.SetFault(FaultUnresponsive)
		time.Sleep(time.Second) // the read that waits has ended
		f.Coordinators = append(f.Coordinators, nil, nil, nil)
		for n := 6; n < 9; n++ {
			f.StartCoordinator(n)
		}
		time.Sleep(1800 * time.Millisecond)
		f.sendToTwo(0, 80, 1, 400*time.Millisecond)
	})
}

// Guards against two runs of a task at a time if two replicas are cut off from all hosts while the job of
// a third coordinator, which goes on, runs, also once they are back.
func TestTwoReplicasAreCutOffUnderARunningJob(t *testing.T) {
	for _, cut := range []time.Duration{2000, 5000} {
		for _, after := range []time.Duration{1700, 1900, 2030, 2200, 2500} {
			cut, after := cut*time.Millisecond, after*time.Millisecond
			t.Run(cut.String()+"/"+after.String(), func(t *testing.T) {
				runFleet(t, sixSpec(9*time.Second), func(_ *testing.T, f *Fleet) {
					f.warmUp()
					var wg sync.WaitGroup
					for n := range 40 {
						wg.Go(func() { f.submitUntil(0, longJob(n, 1), 700*time.Millisecond+after) })
					}
					time.Sleep(600 * time.Millisecond)
					cutOff := func(on bool) {
						for _, n := range []int{4, 5} {
							f.isolate(n, on)
							f.cutFromAgents(n, true, true, on)
						}
					}
					cutOff(true)
					time.AfterFunc(cut, func() { cutOff(false) })
					wg.Go(func() { f.keepAsking(10_000, time.Now().Add(after+time.Second), 1) })
					time.Sleep(after)
					for n := range 40 {
						wg.Go(func() { f.submitUntil(1, longJob(n, 1), 2*time.Second) })
					}
					wg.Wait()
					time.Sleep(max(0, cut-after))
				})
			})
		}
	}
}

// Guards against two runs of a task at a time once two replicas that were cut off from all hosts are back, and one
// coordinator has left them out while another one has not, since it had no job then or has probed them before.
func TestTwoReplicasAreBack(t *testing.T) {
	for name, asking := range map[string][]int{"one knows": {0}, "two know": {0, 1}, "all know": {0, 1, 2, 3, 4, 5}} {
		for _, cut := range []time.Duration{2000, 5000, 12000} {
			for _, after := range []time.Duration{30, 500, 1600} {
				cut, after := cut*time.Millisecond, after*time.Millisecond
				t.Run(name+"/"+cut.String()+"/"+after.String(), func(t *testing.T) {
					runFleet(t, sixSpec(700*time.Millisecond), func(_ *testing.T, f *Fleet) {
						f.warmUp()
						cutOff := func(on bool) {
							for _, n := range []int{4, 5} {
								f.isolate(n, on)
								f.cutFromAgents(n, true, true, on)
							}
						}
						cutOff(true)
						var wg sync.WaitGroup
						wg.Go(func() { f.keepAsking(10_000, time.Now().Add(cut+after), asking...) })
						time.Sleep(cut)
						cutOff(false)
						time.Sleep(after)
						f.sendToTwo(0, 40, 1, 400*time.Millisecond)
						wg.Wait()
					})
				})
			}
		}
	}
}

// Guards against two runs of a task at a time beside an older build, which asks the first replica only and does not
// number its holds.
func TestOlderBuildHoldsTheJob(t *testing.T) {
	runFleet(t, sixSpec(700*time.Millisecond), func(t *testing.T, f *Fleet) {
		f.warmUp()
		older := holds.Holder{Coordinator: "coordinator-9", Incarnation: 99, Addr: netip.AddrPortFrom(CoordinatorAddr(9), innerPort)}
		members := holds.NewMembers(time.Now(), holds.Timing{})
		list := make([]holds.Member, len(f.Coordinators))
		for n, p := range f.Coordinators {
			list[n] = holds.Member{Name: p.Name, Weight: 1}
		}
		members.Set(list)
		for n := range 40 {
			home := members.Replicas(time.Now(), jobID(n))[0]
			for k, p := range f.Coordinators {
				if p.Name != home {
					continue
				}
				r := &relay.HoldRequest{Holder: link.HolderToWire(older), Asks: []*relay.HoldAsk{{Id: jobID(n)}}}
				if _, err := f.peers[0].At(netip.AddrPortFrom(CoordinatorAddr(k), innerPort)).Coordinator.Hold(f.ctx, connect.NewRequest(r)); err != nil {
					t.Fatal(err)
				}
			}
		}
		var wg sync.WaitGroup
		for n := range 40 {
			wg.Go(func() {
				if a := f.submitUntil(1, testJob(n, true, 1), 900*time.Millisecond); a.Code == carobpulley.AnswerOK {
					t.Errorf("job %d, which an older build holds: answer %+v after less than 1.3 s", n, a)
				}
			})
		}
		wg.Wait()
	})
}

// Guards against two coordinators that contest an id, each with a vote of its own, without an end or at a high rate
// of calls.
func TestTwoCoordinatorsContestAnID(t *testing.T) {
	for name, count := range map[string]int{"two coordinators": 2, "one of three is out": 3} {
		for _, apart := range []time.Duration{0, 200 * time.Microsecond, 900 * time.Microsecond} {
			t.Run(name+"/"+apart.String(), func(t *testing.T) {
				spec := sixSpec(100 * time.Millisecond)
				spec.Coordinators = count
				runFleet(t, spec, func(t *testing.T, f *Fleet) {
					f.warmUp()
					if count == 3 {
						f.coordinator(2).Kill()
						f.askAll(5000, 0, 1)
					}
					for n := range 12 {
						var wg sync.WaitGroup
						for at := range 2 {
							wg.Go(func() {
								time.Sleep(time.Duration(at) * apart)
								began := time.Now()
								a := f.submitUntil(at, testJob(n, true, 1), 3*time.Second)
								if took := time.Since(began); a.State != work.StateCompleted || took > 600*time.Millisecond {
									t.Errorf("job %d at %d: answer %+v after %s", n, at, a, took)
								}
							})
						}
						wg.Wait()
					}
				})
			})
		}
	}
}
