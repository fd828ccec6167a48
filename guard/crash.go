package guard

import "fmt"

// logCrashes logs a crash of the endpoint with the runs that were on it. The caller holds a.mu.
func (a *Agent) logCrashes() {
	crashes := a.controller.Crashes()
	if len(crashes) == 0 {
		return
	}
	a.cfg.Meter.Add("runner_crashes", 1)
	runs := make([]string, 0, len(crashes))
	for _, c := range crashes {
		runs = append(runs, fmt.Sprintf("%s run %d certain %t", c.Run.Task, c.Run.Number, c.Certain))
	}
	a.log.Warn().Str("endpoint", crashes[0].Endpoint).Bool("alone", crashes[0].Alone).Strs("runs", runs).Msg("runner crashed")
}
