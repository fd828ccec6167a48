package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"carobpulley"
)

const endpointUsage = `Serves an endpoint that runs tasks by sleeping.

POST /run/{service} runs one task with the body as its payload. It takes
run time / speed, times a factor between 1-spread and 1+spread that is drawn
from the seed. A payload that is a JSON object with a number "run_ms" gives its
own run time. The result is {"endpoint": NAME, "payload": PAYLOAD} for a JSON
payload, else the name, a line feed and the payload; it is truncated to 64 KiB.
The task stops if the caller closes the request.

GET /starts lists all starts in order, with the headers X-Carob-Job and
X-Carob-Task and how often this task had started by then; a count over 1 is a
repeated start. max_running is the highest number of tasks that ran at the same
time.

PUT /settings replaces the settings:

  {"run_time_ms": 200, "speed": 1, "spread": 0.2, "mode": "run"}

Modes: run; fail (status 500 at once); hang (no answer until the caller closes
the request or the endpoint stops).`

// Modes of an endpoint.
const (
	modeRun  = "run"
	modeFail = "fail"
	modeHang = "hang"
)

func endpointCommand(log zerolog.Logger) *cli.Command {
	return &cli.Command{
		Name:        "endpoint",
		Usage:       "serve an endpoint",
		Description: endpointUsage,
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:7100"),
			&cli.StringFlag{Name: "name", Value: "endpoint-1", Usage: "name in results", Sources: cli.EnvVars("STANDIN_NAME")},
			&cli.DurationFlag{Name: "run-time", Value: 200 * time.Millisecond, Usage: "run time of a task at speed 1", Sources: cli.EnvVars("STANDIN_RUN_TIME")},
			&cli.FloatFlag{Name: "speed", Value: 1, Usage: "speed factor, over 0", Sources: cli.EnvVars("STANDIN_SPEED")},
			&cli.FloatFlag{Name: "spread", Usage: "spread of run times, 0 to 1", Sources: cli.EnvVars("STANDIN_SPREAD")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the spread", Sources: cli.EnvVars("STANDIN_SEED")},
			&cli.StringFlag{Name: "mode", Value: modeRun, Usage: "run, fail or hang", Sources: cli.EnvVars("STANDIN_MODE")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s := settings{cmd.Duration("run-time").Milliseconds(), cmd.Float("speed"), cmd.Float("spread"), cmd.String("mode")}
			if err := s.validate(); err != nil {
				return err
			}
			e := newEndpoint(ctx, cmd.String("name"), s, cmd.Uint64("seed"))
			log := log.With().Str("role", "endpoint").Str("name", e.name).Logger()
			return serve(ctx, log, cmd.String("listen"), e.handler())
		},
	}
}

// settings is the body of PUT /settings.
type settings struct {
	RunTimeMS int64   `json:"run_time_ms"`
	Speed     float64 `json:"speed"`
	Spread    float64 `json:"spread"`
	Mode      string  `json:"mode"`
}

func (s settings) validate() error {
	if s.Mode != modeRun && s.Mode != modeFail && s.Mode != modeHang {
		return errors.Errorf("validate: mode %q is not run, fail or hang", s.Mode)
	}
	if s.RunTimeMS < 0 || s.Speed <= 0 || s.Spread < 0 || s.Spread > 1 {
		return errors.Errorf("validate: run time %d ms, speed %v or spread %v is out of range", s.RunTimeMS, s.Speed, s.Spread)
	}
	return nil
}

// startRecord is one start of a task. Count is the number of starts of this task
// up to and including this one.
type startRecord struct {
	Job       string    `json:"job"`
	Task      string    `json:"task"`
	Service   string    `json:"service"`
	StartedAt time.Time `json:"started_at"`
	Count     int       `json:"count"`
}

type endpoint struct {
	name string
	// stopping is done when the program stops; it ends hanging tasks.
	stopping context.Context

	mu           sync.Mutex
	settings     settings
	random       *rand.Rand
	startRecords []startRecord
	counts       map[[2]string]int
	running      int
	maxRunning   int
}

func newEndpoint(stopping context.Context, name string, s settings, seed uint64) *endpoint {
	random := rand.New(rand.NewPCG(seed, 0))
	return &endpoint{name: name, stopping: stopping, settings: s, random: random, startRecords: []startRecord{}, counts: make(map[[2]string]int)}
}

func (e *endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run/{service}", e.run)
	mux.HandleFunc("GET /starts", e.showStarts)
	mux.HandleFunc("PUT /settings", e.setSettings)
	return mux
}

func (e *endpoint) run(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, carobpulley.MaxPayloadBytes))
	if err != nil {
		replyError(w, http.StatusBadRequest, err)
		return
	}
	mode, runTime := e.begin(r, payload)
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()

	if mode == modeFail {
		replyError(w, http.StatusInternalServerError, errors.New("run: set to fail"))
		return
	}
	done, stopping := time.After(runTime), (<-chan struct{})(nil)
	if mode == modeHang {
		done, stopping = nil, e.stopping.Done()
	}
	select {
	case <-done:
		result := fmt.Appendf(nil, "%s\n%s", e.name, payload)
		if json.Valid(payload) {
			result = fmt.Appendf(nil, `{"endpoint":%q,"payload":%s}`, e.name, payload)
		}
		_, _ = w.Write(result[:min(len(result), carobpulley.MaxResultBytes)])
	case <-stopping:
		replyError(w, http.StatusServiceUnavailable, errors.New("run: endpoint is stopping"))
	case <-r.Context().Done():
	}
}

// begin records a start and returns the mode and the run time drawn for it.
func (e *endpoint) begin(r *http.Request, payload []byte) (string, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()

	id := [2]string{r.Header.Get("X-Carob-Job"), r.Header.Get("X-Carob-Task")}
	e.counts[id]++
	e.startRecords = append(e.startRecords, startRecord{id[0], id[1], r.PathValue("service"), time.Now(), e.counts[id]})
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)

	override := struct {
		RunMS float64 `json:"run_ms"`
	}{float64(e.settings.RunTimeMS)}
	// If the payload has no run_ms, the endpoint's run time applies.
	_ = json.Unmarshal(payload, &override)
	factor := 1 + e.settings.Spread*(2*e.random.Float64()-1)
	return e.settings.Mode, time.Duration(override.RunMS * factor / e.settings.Speed * float64(time.Millisecond))
}

func (e *endpoint) showStarts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := map[string]any{"endpoint": e.name, "count": len(e.startRecords), "max_running": e.maxRunning, "starts": e.startRecords}
	e.mu.Unlock()
	reply(w, http.StatusOK, out)
}

func (e *endpoint) setSettings(w http.ResponseWriter, r *http.Request) {
	var s settings
	if !decode(w, r, &s) {
		return
	}
	if err := s.validate(); err != nil {
		replyError(w, http.StatusBadRequest, err)
		return
	}
	e.mu.Lock()
	e.settings = s
	e.mu.Unlock()
	reply(w, http.StatusOK, s)
}
