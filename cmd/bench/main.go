// Command bench measures placement and admission in a discrete-event loop of
// arrivals, entries, endpoints with slots and message delays.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
)

const usage = `Runs every way of placement and admission on the same arrivals and prints
response times over the ideal (an all-knowing list schedule without delays),
messages per task, work during an outage of a domain, and the effect of a
member's burst on the others.`

// Experiments.
const (
	experimentResponse = "response"
	experimentOutage   = "outage"
	experimentBurst    = "burst"
)

func main() {
	cmd := &cli.Command{
		Name:  "bench",
		Usage: usage,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON lines"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds per scenario"},
			&cli.StringFlag{Name: "way", Usage: "run only this way"},
			&cli.StringFlag{Name: "only", Usage: "run only scenarios whose experiment and name contain this"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			results := measure(c.Int("seeds"), c.String("way"), c.String("only"))
			if c.Bool("json") {
				return writeJSON(os.Stdout, results)
			}
			writeMarkdown(os.Stdout, results)
			return nil
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measure runs the experiments side by side and returns their results in order.
func measure(seeds int, only, filter string) []result {
	var runs []func() result
	add := func(experiment string, sc scenario, run func(scenario, way, int) result) {
		if !strings.Contains(experiment+" "+sc.name(), filter) {
			return
		}
		for _, w := range ways {
			if only == "" || only == w.name {
				runs = append(runs, func() result {
					r := run(sc, w, seeds)
					r.Experiment, r.Scenario, r.Way = experiment, sc.name(), w.name
					return r
				})
			}
		}
	}
	for _, sc := range scenarios() {
		add(experimentResponse, sc, response)
	}
	for _, d := range deployments {
		for _, unequal := range []bool{false, true} {
			add(experimentOutage, scenario{deployment: d, load: 0.8, unequal: unequal, outage: true}, outage)
		}
	}
	for _, d := range deployments {
		add(experimentBurst, scenario{deployment: d, load: 0.5, quota: true}, neighbours)
		add(experimentBurst, scenario{deployment: d, load: 0.5}, neighbours)
	}
	return inParallel(runs)
}

func scenarios() []scenario {
	all := make([]scenario, 0, 8*len(deployments))
	for _, d := range deployments {
		for _, unequal := range []bool{false, true} {
			for _, load := range []float64{0.5, 0.8, 0.95} {
				all = append(all, scenario{deployment: d, load: load, unequal: unequal})
			}
			all = append(all, scenario{deployment: d, night: true, unequal: unequal})
		}
	}
	return all
}

// parallelRuns bounds the runs at the same time.
const parallelRuns = 4

func inParallel(runs []func() result) []result {
	results := make([]result, len(runs))
	free := make(chan struct{}, parallelRuns)
	var wg sync.WaitGroup
	for i, run := range runs {
		free <- struct{}{}
		wg.Go(func() {
			results[i] = run()
			<-free
		})
	}
	wg.Wait()
	return results
}

// response measures response times and messages.
func response(sc scenario, w way, seeds int) result {
	t := newTimes()
	for seed := range seeds {
		arrivals := sc.arrivals(uint64(seed))
		best, _ := ideal(sc, arrivals)
		s := simulate(sc, w, arrivals, uint64(seed))
		t.add(arrivals, s.ended, best, warmUp, runFor)
		t.count(s.messages)
	}
	var r result
	t.fill(&r)
	return r
}

// outageSettle is how long after the domain's return the work is compared.
const outageSettle = 10

// outage compares the work of each second with the ideal from the second in
// which a domain leaves until it has been back for a while. The ideal has the
// same capacity; where it does less because it has caught up, nothing is missing.
func outage(sc scenario, w way, seeds int) result {
	r := result{WorkMin: 1}
	t := newTimes()
	done, allowed := 0.0, 0.0
	for seed := range seeds {
		arrivals := sc.arrivals(uint64(seed))
		bestEnded, best := ideal(sc, arrivals)
		s := simulate(sc, w, arrivals, uint64(seed))
		t.add(arrivals, s.ended, bestEnded, outageStart, outageEnd+outageSettle*time.Second)
		t.count(s.messages)
		for i := int(outageStart.Seconds()); i < int(outageEnd.Seconds())+outageSettle; i++ {
			done += min(s.work[i], best[i])
			allowed += best[i]
			r.WorkMin = min(r.WorkMin, round(s.work[i]/best[i]))
		}
	}
	t.fill(&r)
	r.Work = round(done / allowed)
	return r
}

// neighbours measures the p99 of the other members' jobs with and without a
// burst of one member.
func neighbours(sc scenario, w way, seeds int) result {
	var p99 [2][]float64
	for seed := range seeds {
		for i, burst := range []bool{false, true} {
			sc.burst = burst
			arrivals := sc.arrivals(uint64(seed))
			s := simulate(sc, w, arrivals, uint64(seed))
			for k, a := range arrivals {
				if a.member != members[0] && a.at > warmUp {
					p99[i] = append(p99[i], (s.ended[k] - a.at).Seconds())
				}
			}
		}
	}
	return result{Neighbour: round(quantile(p99[1], 0.99) / quantile(p99[0], 0.99))}
}
