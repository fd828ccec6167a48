package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/urfave/cli/v3"

	"carobpulley"
	"carobpulley/api"
)

const loadUsage = `Submits jobs through the callers' API of running entries, sends each one again
under its key, to the next entry, until it has a final answer, and compares all
answers with the endpoints' own record of starts. It prints one JSON line and
exits with 1 if a task started twice, an answer contradicts the record, or a job
got no final answer.`

const (
	// resubmitPause is the time between two tries of a client.
	resubmitPause = 200 * time.Millisecond
	// answerLimit is how long a client tries to get a job's answer beyond the
	// job's own time limit.
	answerLimit = 90 * time.Second
	// callLimit bounds one call, so that a connection which went silent is left.
	callLimit = 20 * time.Second
	// auditLimit bounds the reading of an endpoint's record.
	auditLimit = 10 * time.Second
	// longestMS is the largest response time recorded.
	longestMS = 600_000
)

// load is one run of clients against a running system.
type load struct {
	entries  []*api.Client
	starts   []string
	service  string
	prefix   string
	clients  int
	tasks    int
	deadline time.Time
	timeout  time.Duration

	calls atomic.Int64
	mu    sync.Mutex
	jobs  []finishedJob
	times *hdrhistogram.Histogram
}

// finishedJob is a job with its final answer; the answer is empty if none came.
type finishedJob struct {
	key    string
	answer jobAnswer
}

// jobAnswer is the part of an answer that is compared with the record.
type jobAnswer struct {
	Outcome string       `json:"outcome"`
	Tasks   []taskAnswer `json:"tasks"`
}

type taskAnswer struct {
	Index int    `json:"index"`
	Phase string `json:"phase"`
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "submit jobs to a running system and audit the answers",
		Description: loadUsage,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "base `URL` of an entry's callers' API; repeat it", Required: true},
			&cli.StringSliceFlag{Name: "endpoint", Usage: "base `URL` of an endpoint stand-in; repeat it", Required: true},
			&cli.StringFlag{Name: "member-token", Usage: "the member's bearer token", Required: true, Sources: cli.EnvVars("CAROB_TOKEN")},
			&cli.StringFlag{Name: "service", Usage: "service of the jobs", Value: "booking.check"},
			&cli.StringFlag{Name: "prefix", Usage: "first part of the keys", Value: "load"},
			&cli.IntFlag{Name: "clients", Usage: "clients, each with one job at a time", Value: 8},
			&cli.IntFlag{Name: "tasks", Usage: "tasks per job", Value: 20},
			&cli.DurationFlag{Name: "duration", Usage: "`TIME` in which jobs are started", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "job-timeout", Usage: "`TIME` after which no task of a job starts", Value: 30 * time.Second},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	l := &load{
		starts:   cmd.StringSlice("endpoint"),
		service:  cmd.String("service"),
		prefix:   cmd.String("prefix"),
		clients:  cmd.Int("clients"),
		tasks:    cmd.Int("tasks"),
		deadline: time.Now().Add(cmd.Duration("duration")),
		timeout:  cmd.Duration("job-timeout"),
		times:    hdrhistogram.New(1, longestMS, 3),
	}
	for _, e := range cmd.StringSlice("entry") {
		base, err := url.Parse(e)
		if err != nil {
			return errors.Wrap(err, "entry")
		}
		l.entries = append(l.entries, api.NewClient(base, cmd.String("member-token"), &http.Client{}))
	}
	l.run(ctx)
	r, err := l.audit(ctx)
	if err != nil {
		return err
	}
	if err := json.MarshalWrite(os.Stdout, r); err != nil {
		return err
	}
	_, _ = fmt.Println()
	if r.bad() {
		return errors.New("the answers and the record of starts disagree")
	}
	return nil
}

// run lets the clients submit until the end of the duration.
func (l *load) run(ctx context.Context) {
	var wg sync.WaitGroup
	for c := range l.clients {
		wg.Go(func() {
			for i := 0; time.Now().Before(l.deadline) && ctx.Err() == nil; i++ {
				l.job(ctx, c, fmt.Sprintf("%s-%d-%d", l.prefix, c, i))
			}
		})
	}
	wg.Wait()
}

// job submits one job until it has a final answer.
func (l *load) job(ctx context.Context, client int, key string) {
	started := time.Now()
	j := api.Job{Key: key, Service: l.service, Wait: true, Deadline: started.Add(l.timeout)}
	for i := range l.tasks {
		j.Payloads = append(j.Payloads, jsontext.Value(fmt.Sprintf("%d", i)))
	}
	limit := j.Deadline.Add(answerLimit)
	var a jobAnswer
	for try := client; time.Now().Before(limit) && ctx.Err() == nil; try++ {
		var final bool
		if a, final = l.submit(ctx, l.entries[try%len(l.entries)], j); final {
			break
		}
		time.Sleep(resubmitPause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, finishedJob{key: key, answer: a})
	_ = l.times.RecordValue(time.Since(started).Milliseconds())
}

// submit sends a job once. A refusal as not run is a final answer too.
func (l *load) submit(ctx context.Context, c *api.Client, j api.Job) (jobAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	l.calls.Add(1)
	b, err := c.Submit(ctx, time.Now(), j)
	var e *carobpulley.Error
	switch {
	case errors.As(err, &e) && e.NotRun:
		return jobAnswer{Outcome: string(carobpulley.OutcomeNotRun)}, true
	case errors.As(err, &e) && e.Kind == carobpulley.KindUnknown:
		return jobAnswer{Outcome: string(carobpulley.OutcomeFailed)}, true
	case err != nil:
		return jobAnswer{}, false
	}
	var a jobAnswer
	if err := json.Unmarshal(b, &a); err != nil {
		return jobAnswer{}, false
	}
	return a, a.Outcome != string(carobpulley.OutcomeRunning)
}

// loadReport is the result of a run.
type loadReport struct {
	Jobs     int   `json:"jobs"`
	Complete int   `json:"complete"`
	Failed   int   `json:"failed"`
	NotRun   int   `json:"not_run"`
	NoAnswer int   `json:"no_answer"`
	Calls    int64 `json:"calls"`
	Starts   int   `json:"starts"`
	// Doubled are tasks that started twice; False are answers that the record
	// of starts contradicts.
	Doubled []string `json:"doubled"`
	False   []string `json:"false_answers"`
	P50MS   int64    `json:"p50_ms"`
	P99MS   int64    `json:"p99_ms"`
	MaxMS   int64    `json:"max_ms"`
}

func (r *loadReport) bad() bool {
	return r.NoAnswer > 0 || len(r.Doubled) > 0 || len(r.False) > 0 || r.Jobs == 0
}

// audit compares the answers with the endpoints' record.
func (l *load) audit(ctx context.Context) (*loadReport, error) {
	counts := make(map[string]int)
	for _, u := range l.starts {
		if err := l.readStarts(ctx, u, counts); err != nil {
			return nil, err
		}
	}
	r := &loadReport{
		Jobs:  len(l.jobs),
		Calls: l.calls.Load(),
		P50MS: l.times.ValueAtQuantile(50),
		P99MS: l.times.ValueAtQuantile(99),
		MaxMS: l.times.Max(),
	}
	for id, n := range counts {
		r.Starts += n
		if n > 1 {
			r.Doubled = append(r.Doubled, id)
		}
	}
	for _, j := range l.jobs {
		r.count(j, counts)
	}
	return r, nil
}

// count adds a job and checks its answer.
func (r *loadReport) count(j finishedJob, counts map[string]int) {
	switch carobpulley.Outcome(j.answer.Outcome) {
	case carobpulley.OutcomeComplete:
		r.Complete++
	case carobpulley.OutcomeFailed:
		r.Failed++
	case carobpulley.OutcomeNotRun:
		r.NotRun++
		r.checkNotRun(j.key, counts)
	default:
		r.NoAnswer++
	}
	for _, t := range j.answer.Tasks {
		id := fmt.Sprintf("%s#%d", j.key, t.Index)
		n := counts[id]
		done := t.Phase == string(carobpulley.PhaseDone) && n != 1
		notRun := t.Phase == string(carobpulley.PhaseNotRun) && n != 0
		if done || notRun {
			r.False = append(r.False, fmt.Sprintf("%s is %s and started %d times", id, t.Phase, n))
		}
	}
}

func (r *loadReport) checkNotRun(key string, counts map[string]int) {
	for id, n := range counts {
		if strings.HasPrefix(id, key+"#") && n > 0 {
			r.False = append(r.False, id+" belongs to a job that is not run and started")
		}
	}
}

// readStarts adds an endpoint's record of this run's tasks to the counts.
func (l *load) readStarts(ctx context.Context, base string, counts map[string]int) error {
	ctx, cancel := context.WithTimeout(ctx, auditLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/starts", http.NoBody)
	if err != nil {
		return errors.Wrap(err, "starts")
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "starts")
	}
	defer func() { _ = res.Body.Close() }()
	var record struct {
		Starts []struct {
			Job  string `json:"job"`
			Task string `json:"task"`
		} `json:"starts"`
	}
	if err := json.UnmarshalRead(res.Body, &record); err != nil {
		return errors.Wrap(err, "starts")
	}
	for _, s := range record.Starts {
		_, key, _ := strings.Cut(s.Job, "/")
		if strings.HasPrefix(key, l.prefix+"-") {
			counts[key+"#"+s.Task]++
		}
	}
	return nil
}
