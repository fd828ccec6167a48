// Command bench measures placement and admission in a discrete-event simulation of
// job arrivals, entries, endpoints with slots and message delays. Its subcommands
// measure the cost of the dispatcher's code and the propagation of configuration
// changes, and submit load to a running system.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"carobpulley/setup"
)

const usage = `Simulates every strategy of placement and admission, or the one that --way
names, on the same arrivals. Prints response times relative to the ideal (a
clairvoyant list schedule without message delays), messages per task, work done
during an outage of a domain, and the effect of one member's burst on the others.`

func main() {
	cmd := &cli.Command{
		Name:  "bench",
		Usage: usage,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON lines"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds per scenario"},
			&cli.StringFlag{Name: "way", Usage: "run only the strategy of this name"},
			&cli.StringFlag{Name: "only", Usage: "run only scenarios whose experiment and title contain this text"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("there is no command %q", c.Args().First())
			}
			results := measure(c.Int("seeds"), c.String("way"), c.String("only"))
			if c.Bool("json") {
				return writeJSON(os.Stdout, results)
			}
			writeMarkdown(os.Stdout, results)
			return nil
		},
		Commands: []*cli.Command{slopesCommand(), spreadCommand(), loadCommand(), setup.VersionCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// experiment is a measurement and the scenarios in which it is taken.
type experiment struct {
	name      string
	run       func(scenario, strategy, int) []metric
	scenarios []scenario
}

func experiments() []experiment {
	steady := experiment{name: "response", run: measureResponse}
	outage := experiment{name: "outage", run: measureResponse}
	burst := experiment{name: "burst", run: measureBurst}
	for _, d := range deployments {
		for _, unequal := range []bool{false, true} {
			for _, load := range []float64{0.5, 0.8, 0.95} {
				steady.scenarios = append(steady.scenarios, scenario{deployment: d, load: load, unequal: unequal})
			}
			steady.scenarios = append(steady.scenarios, scenario{deployment: d, load: 0.5, night: true, unequal: unequal})
			outage.scenarios = append(outage.scenarios, scenario{deployment: d, load: 0.8, unequal: unequal, outage: true})
		}
		for _, quota := range []bool{true, false} {
			burst.scenarios = append(burst.scenarios, scenario{deployment: d, load: 0.5, quota: quota})
		}
	}
	return []experiment{steady, outage, burst}
}

// maxParallelRuns bounds the number of concurrent runs.
const maxParallelRuns = 4

// measure runs the experiments concurrently and returns their results in order.
func measure(seeds int, only, filter string) []*result {
	var g errgroup.Group
	g.SetLimit(maxParallelRuns)
	var results []*result
	for _, x := range experiments() {
		for _, sc := range x.scenarios {
			for _, st := range strategies {
				if !strings.Contains(x.name+" "+sc.title(), filter) || (only != "" && only != st.name) {
					continue
				}
				r := &result{experiment: x.name, scenario: sc.title(), strategy: st.name}
				results = append(results, r)
				g.Go(func() error {
					r.metrics = x.run(sc, st, seeds)
					return nil
				})
			}
		}
	}
	_ = g.Wait()
	return results
}

// outageRecovery is how long the work is still compared after the domain is back in
// service.
const outageRecovery = 10 * time.Second

// measureResponse measures response times and messages. In an outage, it also compares
// the work of each second with that of the ideal schedule, which has the same capacity,
// from the second in which the domain leaves service until outageRecovery after its
// return. Work beyond the ideal in one second does not compensate for less in another.
func measureResponse(sc scenario, st strategy, seeds int) []metric {
	t := newResponseTimes()
	done, possible, least := 0.0, 0.0, 1.0
	for seed := range uint64(seeds) {
		arrivals := sc.arrivals(seed)
		idealEnds, idealWork := ideal(sc, arrivals)
		s := simulate(sc, st, arrivals, seed)
		if !sc.outage {
			t.add(s, idealEnds, warmUp, runDuration)
			continue
		}
		t.add(s, idealEnds, outageStart, outageEnd+outageRecovery)
		for i := int(outageStart.Seconds()); i < int((outageEnd + outageRecovery).Seconds()); i++ {
			done += min(s.workPerSecond[i], idealWork[i])
			possible += idealWork[i]
			least = min(least, s.workPerSecond[i]/idealWork[i])
		}
	}
	if sc.outage {
		return append([]metric{{"work", done / possible}, {"least second", least}}, t.metrics()...)
	}
	return t.metrics()
}

// measureBurst measures the p99 response time of the other members' jobs during a run
// with a burst of one member, relative to that without the burst.
func measureBurst(sc scenario, st strategy, seeds int) []metric {
	p99 := map[bool][]float64{}
	for seed := range uint64(seeds) {
		for _, burst := range []bool{false, true} {
			sc.burst = burst
			arrivals := sc.arrivals(seed)
			s := simulate(sc, st, arrivals, seed)
			for k, a := range arrivals {
				if a.Member != members[0] && a.at > warmUp {
					p99[burst] = append(p99[burst], (s.endedAt[k] - a.at).Seconds())
				}
			}
		}
	}
	return []metric{{"p99 of the others", quantile(p99[true], 0.99) / quantile(p99[false], 0.99)}}
}
