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
		runs = append(runs, fmt.Sprintf("%s run %d", c.Run.Task, c.Run.Number))
	}
	a.log.Warn().Str("life", crashes[0].Generation).Strs("runs", runs).Msg("runner crashed")
}
