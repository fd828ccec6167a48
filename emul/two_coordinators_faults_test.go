package emul

import (
	"math/rand/v2"
	"time"
)

// twoFault injects a fault and removes it again.
type twoFault struct {
	name   string
	inject func(d *twoDay, rng *rand.Rand)
}

// lasting returns the duration of a fault.
func lasting(rng *rand.Rand) time.Duration {
	if rng.IntN(3) == 0 {
		return time.Duration(20+rng.IntN(380)) * time.Millisecond
	}
	return time.Duration(300+rng.IntN(4000)) * time.Millisecond
}

// ofProcess returns a fault of a coordinator's process, which is left out if there is another one already.
func ofProcess(name string, inject func(d *twoDay, rng *rand.Rand, n int)) twoFault {
	return twoFault{name, func(d *twoDay, rng *rand.Rand) {
		n := d.draw(rng)
		select {
		case d.busy[n] <- struct{}{}:
			inject(d, rng, n)
			<-d.busy[n]
		default:
		}
	}}
}

// ofFleet returns a fault of the other days.
func ofFleet(a faultAction) twoFault {
	return twoFault{a.name, func(d *twoDay, rng *rand.Rand) {
		d.targetLocks[a.target] <- struct{}{}
		a.inject(d.Fleet, rng)
		<-d.targetLocks[a.target]
	}}
}

// processFaults returns faults of coordinators' processes.
func processFaults() []twoFault {
	return []twoFault{
		ofProcess("kill", func(d *twoDay, rng *rand.Rand, n int) {
			d.coordinator(n).Kill()
			time.Sleep(lasting(rng))
			d.StartCoordinator(n)
		}),
		ofProcess("restart", func(d *twoDay, _ *rand.Rand, n int) {
			d.coordinator(n).Kill()
			d.StartCoordinator(n)
		}),
		ofProcess("stop", func(d *twoDay, rng *rand.Rand, n int) {
			d.coordinator(n).Stop()
			if rng.IntN(2) == 0 {
				time.Sleep(lasting(rng))
			}
			d.StartCoordinator(n)
		}),
		ofProcess("suspend", func(d *twoDay, rng *rand.Rand, n int) { d.coordinator(n).Suspend(lasting(rng)) }),
		ofProcess("freeze", func(d *twoDay, rng *rand.Rand, n int) { d.coordinator(n).Freeze(lasting(rng)) }),
		ofProcess("freeze often", func(d *twoDay, rng *rand.Rand, n int) {
			for range 6 {
				d.coordinator(n).Freeze(time.Duration(10+rng.IntN(390)) * time.Millisecond)
				time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			}
		}),
		{"join", func(d *twoDay, _ *rand.Rand) {
			d.mu.Lock()
			n := d.begun
			d.mu.Unlock()
			if n == d.spec.Coordinators {
				return
			}
			select {
			case d.busy[n] <- struct{}{}:
			default:
				return
			}
			d.StartCoordinator(n)
			d.mu.Lock()
			d.begun = n + 1
			d.mu.Unlock()
			<-d.busy[n]
		}},
	}
}

// networkFaults returns faults between coordinators, and between them and the other hosts.
func networkFaults() []twoFault {
	return []twoFault{
		{"cut pair", func(d *twoDay, rng *rand.Rand) {
			a, w := d.draw(rng), drawWay(rng)
			to := d.others(a)
			to = []int{to[rng.IntN(len(to))]}
			d.cutCoordinators([]int{a}, to, w, true)
			time.Sleep(lasting(rng))
			d.cutCoordinators([]int{a}, to, w, false)
		}},
		{"cut from coordinators", func(d *twoDay, rng *rand.Rand) {
			a, w := d.draw(rng), drawWay(rng)
			d.cutCoordinators([]int{a}, d.others(a), w, true)
			time.Sleep(lasting(rng))
			d.cutCoordinators([]int{a}, d.others(a), w, false)
		}},
		{"cut groups", func(d *twoDay, rng *rand.Rand) {
			var groups [2][]int
			for n := range d.spec.Coordinators {
				k := rng.IntN(2)
				groups[k] = append(groups[k], n)
			}
			w := drawWay(rng)
			d.cutCoordinators(groups[0], groups[1], w, true)
			time.Sleep(lasting(rng))
			d.cutCoordinators(groups[0], groups[1], w, false)
		}},
		{"cut from agents", func(d *twoDay, rng *rand.Rand) {
			n, w := d.draw(rng), drawWay(rng)
			d.cutAgents(n, w, true)
			time.Sleep(lasting(rng))
			d.cutAgents(n, w, false)
		}},
		{"cut from all", func(d *twoDay, rng *rand.Rand) {
			n, w := d.draw(rng), drawWay(rng)
			d.cutAll(n, w, true)
			time.Sleep(lasting(rng))
			d.cutAll(n, w, false)
		}},
		{"cut several from all", func(d *twoDay, rng *rand.Rand) {
			cut, w, length := rng.Perm(d.count())[:2+rng.IntN(2)], drawWay(rng), lasting(rng)
			for _, n := range cut {
				d.cutAll(n, w, true)
			}
			time.Sleep(length)
			for _, n := range cut {
				d.cutAll(n, w, false)
				time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
			}
		}},
		{"delay", func(d *twoDay, rng *rand.Rand) {
			a, w, added := d.draw(rng), drawWay(rng), time.Duration(rng.IntN(130))*time.Millisecond
			set := func(added time.Duration) {
				for _, b := range d.others(a) {
					if w.there {
						d.Net.SetDelay(CoordinatorAddr(a), CoordinatorAddr(b), added)
					}
					if w.back {
						d.Net.SetDelay(CoordinatorAddr(b), CoordinatorAddr(a), added)
					}
				}
			}
			set(added)
			time.Sleep(lasting(rng))
			set(0)
		}},
		{"silence", func(d *twoDay, rng *rand.Rand) {
			a, w := d.draw(rng), drawWay(rng)
			to := d.others(a)
			if rng.IntN(2) == 0 {
				to = to[:1+rng.IntN(len(to))]
			}
			for _, b := range to {
				d.SilenceBetween(CoordinatorAddr(a), CoordinatorAddr(b), w.there, w.back)
			}
			if rng.IntN(2) == 0 {
				d.SilenceCoordinator(a, w.there, w.back)
			}
			time.Sleep(lasting(rng) / 4)
		}},
	}
}

// storeFaults returns faults by which the views of coordinators differ.
func storeFaults() []twoFault {
	return []twoFault{
		{"store", func(d *twoDay, rng *rand.Rand) {
			var views []*View
			for n := range d.count() {
				if rng.IntN(2) == 0 {
					views = append(views, d.coordinator(n).Store)
				}
			}
			fault := []Fault{FaultBusy, FaultUnresponsive}[rng.IntN(2)]
			for _, v := range views {
				v.SetFault(fault)
			}
			time.Sleep(2 * lasting(rng))
			for _, v := range views {
				v.SetFault(FaultNone)
			}
		}},
	}
}

// twoFaults returns all faults of the days, those between coordinators more than once.
func twoFaults() []twoFault {
	faults := append(networkFaults(), networkFaults()...)
	faults = append(append(faults, processFaults()...), storeFaults()...)
	faults = append(faults, storeFaults()...)
	for _, a := range append(faultActions()[2:5], suspendActions()[0]) {
		faults = append(faults, ofFleet(a))
	}
	return faults
}

// slowFaults returns faults by which hosts are alive but slow.
func slowFaults() []twoFault {
	return []twoFault{
		ofProcess("slow coordinator", func(d *twoDay, rng *rand.Rand, n int) {
			d.setDelay(n, time.Duration(100+rng.IntN(500))*time.Millisecond)
			time.Sleep(lasting(rng) / 2)
			d.setDelay(n, 0)
		}),
		ofProcess("slow coordinator by turns", func(d *twoDay, rng *rand.Rand, n int) {
			for range 6 {
				d.setDelay(n, time.Duration(100+rng.IntN(500))*time.Millisecond)
				time.Sleep(time.Duration(50+rng.IntN(400)) * time.Millisecond)
				d.setDelay(n, 0)
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			}
		}),
		{"slow agents", func(d *twoDay, rng *rand.Rand) {
			agents, length := rng.Perm(d.spec.Endpoints)[:1+rng.IntN(d.spec.Endpoints)], lasting(rng)/2
			set := func(added time.Duration) {
				for _, k := range agents {
					for n := range d.spec.Coordinators {
						d.Net.SetDelay(CoordinatorAddr(n), AgentAddr(k), added)
					}
				}
			}
			set(time.Duration(50+rng.IntN(250)) * time.Millisecond)
			time.Sleep(length)
			set(0)
		}},
	}
}
