package emul

import (
	"testing"
	"time"
)

// Guards against a run that starts elsewhere while an earlier process of an agent has left it at work:
// the restarted agent has read the endpoint's lists once, its stops do not arrive, and some of its polls
// get no answer.
func TestRestartedAgentWaitsForInheritedRuns(t *testing.T) {
	playElsewhereCases(t, elsewhereCase{
		"agents restarted", func(f *Fleet) {
			troubled(Trouble{Unsent: 1}, CommandStop)(f)
			troubled(Trouble{Lost: 0.6}, CommandRenew)(f)
		}, (*Fleet).restartAgents, time.Second, 3 * time.Second,
	})
}
