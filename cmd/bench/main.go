// Command bench measures placement and admission in a discrete-event loop of
// arrivals, entries, endpoints with slots and message delays.
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

const usage = `Runs every way of placement and admission on the same arrivals and prints
response times over the ideal (an all-knowing list schedule without delays),
messages per task, work during an outage of a domain, and the effect of a
member's burst on the others.`

func main() {
	cmd := &cli.Command{
		Name:  "bench",
		Usage: usage,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON lines"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds per scenario"},
			&cli.StringFlag{Name: "way", Usage: "run only this way"},
			&cli.StringFlag{Name: "only", Usage: "run only scenarios whose experiment and title contain this"},
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

// experiment is a kind of run with its scenarios.
type experiment struct {
	name      string
	run       func(scenario, way, int) []figure
	scenarios []scenario
}

func experiments() []experiment {
	steady := experiment{name: "response", run: response}
	outage := experiment{name: "outage", run: response}
	burst := experiment{name: "burst", run: neighbours}
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

// parallelRuns bounds the runs at the same time.
const parallelRuns = 4

// measure runs the experiments side by side and returns their results in order.
func measure(seeds int, only, filter string) []*result {
	var g errgroup.Group
	g.SetLimit(parallelRuns)
	var results []*result
	for _, x := range experiments() {
		for _, sc := range x.scenarios {
			for _, w := range ways {
				if !strings.Contains(x.name+" "+sc.title(), filter) || (only != "" && only != w.name) {
					continue
				}
				r := &result{experiment: x.name, scenario: sc.title(), way: w.name}
				results = append(results, r)
				g.Go(func() error {
					r.figures = x.run(sc, w, seeds)
					return nil
				})
			}
		}
	}
	_ = g.Wait()
	return results
}

// outageSettle is how long after the domain's return the work is compared.
const outageSettle = 10 * time.Second

// response measures response times and messages. In an outage, it compares the
// work of each second with the ideal, which has the same capacity, from the
// second in which a domain leaves until it has been back for a while. Work that
// catches up later does not make up for a second.
func response(sc scenario, w way, seeds int) []figure {
	t := newTimes()
	done, allowed, least := 0.0, 0.0, 1.0
	for seed := range uint64(seeds) {
		arrivals := sc.arrivals(seed)
		ended, best := ideal(sc, arrivals)
		s := simulate(sc, w, arrivals, seed)
		if !sc.outage {
			t.add(s, ended, warmUp, runFor)
			continue
		}
		t.add(s, ended, outageStart, outageEnd+outageSettle)
		for i := int(outageStart.Seconds()); i < int((outageEnd + outageSettle).Seconds()); i++ {
			done += min(s.work[i], best[i])
			allowed += best[i]
			least = min(least, s.work[i]/best[i])
		}
	}
	if sc.outage {
		return append([]figure{{"work", done / allowed}, {"least second", least}}, t.figures()...)
	}
	return t.figures()
}

// neighbours measures the p99 of the other members' jobs with a burst of one
// member over that without.
func neighbours(sc scenario, w way, seeds int) []figure {
	p99 := map[bool][]float64{}
	for seed := range uint64(seeds) {
		for _, burst := range []bool{false, true} {
			sc.burst = burst
			arrivals := sc.arrivals(seed)
			s := simulate(sc, w, arrivals, seed)
			for k, a := range arrivals {
				if a.Member != members[0] && a.at > warmUp {
					p99[burst] = append(p99[burst], (s.ended[k] - a.at).Seconds())
				}
			}
		}
	}
	return []figure{{"p99 of the others", quantile(p99[true], 0.99) / quantile(p99[false], 0.99)}}
}
