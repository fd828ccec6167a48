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

const loadUsage = `Submits jobs through the callers' API of running entries. Each job is resubmitted
under its key to the next entry until it has a final answer. All answers are then
compared with the endpoints' own record of starts. Prints one JSON line and exits
with 1 if a task started twice, an answer contradicts the record, a job got no
final answer, or no job was submitted.`

const (
	// resubmitInterval is the time between two submissions of a job by a client.
	resubmitInterval = 200 * time.Millisecond
	// answerTimeout is how long after a job's deadline its client still resubmits it to
	// get a final answer.
	answerTimeout = 90 * time.Second
	// callTimeout bounds one call, so that a client abandons an unresponsive connection.
	callTimeout = 20 * time.Second
	// auditTimeout bounds the read of an endpoint's record of starts.
	auditTimeout = 10 * time.Second
	// maxResponseMS is the largest response time that the histogram records.
	maxResponseMS = 600_000
)

// loadTest is one run of concurrent clients against a running system.
type loadTest struct {
	entries   []*api.Client
	endpoints []string
	service   string
	prefix    string
	clients   int
	tasks     int
	deadline  time.Time
	timeout   time.Duration

	calls         atomic.Int64
	mu            sync.Mutex
	jobs          []finishedJob
	responseTimes *hdrhistogram.Histogram
}

// finishedJob is a job with its final answer. The answer is empty if there was none.
type finishedJob struct {
	key    string
	answer jobAnswer
}

// jobAnswer is the part of an answer that is compared with the record of starts.
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
			&cli.StringFlag{Name: "prefix", Usage: "prefix of the jobs' keys", Value: "load"},
			&cli.IntFlag{Name: "clients", Usage: "concurrent clients, each with one open job at a time", Value: 8},
			&cli.IntFlag{Name: "tasks", Usage: "tasks per job", Value: 20},
			&cli.DurationFlag{Name: "duration", Usage: "`TIME` during which clients submit new jobs", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "job-timeout", Usage: "`TIME` after which no task of a job starts", Value: 30 * time.Second},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	l := &loadTest{
		endpoints:     cmd.StringSlice("endpoint"),
		service:       cmd.String("service"),
		prefix:        cmd.String("prefix"),
		clients:       cmd.Int("clients"),
		tasks:         cmd.Int("tasks"),
		deadline:      time.Now().Add(cmd.Duration("duration")),
		timeout:       cmd.Duration("job-timeout"),
		responseTimes: hdrhistogram.New(1, maxResponseMS, 3),
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
	if r.hasFailures() {
		return errors.New("the answers and the record of starts disagree")
	}
	return nil
}

// run runs the clients until the deadline of the load test.
func (l *loadTest) run(ctx context.Context) {
	var wg sync.WaitGroup
	for c := range l.clients {
		wg.Go(func() {
			for i := 0; time.Now().Before(l.deadline) && ctx.Err() == nil; i++ {
				l.submitUntilFinal(ctx, c, fmt.Sprintf("%s-%d-%d", l.prefix, c, i))
			}
		})
	}
	wg.Wait()
}

// submitUntilFinal submits one job until it has a final answer or the time for it is
// over, and records the result.
func (l *loadTest) submitUntilFinal(ctx context.Context, client int, key string) {
	started := time.Now()
	j := api.Job{Key: key, Service: l.service, Wait: true, Deadline: started.Add(l.timeout)}
	for i := range l.tasks {
		j.Payloads = append(j.Payloads, jsontext.Value(fmt.Sprintf("%d", i)))
	}
	resubmitUntil := j.Deadline.Add(answerTimeout)
	var answer jobAnswer
	for attempt := client; time.Now().Before(resubmitUntil) && ctx.Err() == nil; attempt++ {
		var final bool
		if answer, final = l.submitOnce(ctx, l.entries[attempt%len(l.entries)], j); final {
			break
		}
		time.Sleep(resubmitInterval)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, finishedJob{key: key, answer: answer})
	_ = l.responseTimes.RecordValue(time.Since(started).Milliseconds())
}

// submitOnce submits a job once and returns whether the answer is final. A refusal that
// says that the job is not run is final, and so is an error of kind KindUnknown, which
// counts as a failed job.
func (l *loadTest) submitOnce(ctx context.Context, c *api.Client, j api.Job) (jobAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// loadReport is the result of a load test.
type loadReport struct {
	Jobs     int   `json:"jobs"`
	Complete int   `json:"complete"`
	Failed   int   `json:"failed"`
	NotRun   int   `json:"not_run"`
	NoAnswer int   `json:"no_answer"`
	Calls    int64 `json:"calls"`
	Starts   int   `json:"starts"`
	// StartedTwice holds the tasks that started more than once, FalseAnswers the answers
	// that the record of starts contradicts.
	StartedTwice []string `json:"doubled"`
	FalseAnswers []string `json:"false_answers"`
	P50MS        int64    `json:"p50_ms"`
	P99MS        int64    `json:"p99_ms"`
	MaxMS        int64    `json:"max_ms"`
}

// hasFailures reports whether a check failed or no job was submitted.
func (r *loadReport) hasFailures() bool {
	return r.NoAnswer > 0 || len(r.StartedTwice) > 0 || len(r.FalseAnswers) > 0 || r.Jobs == 0
}

// audit compares the answers with the endpoints' record of starts.
func (l *loadTest) audit(ctx context.Context) (*loadReport, error) {
	counts := make(map[string]int)
	for _, u := range l.endpoints {
		if err := l.readStarts(ctx, u, counts); err != nil {
			return nil, err
		}
	}
	r := &loadReport{
		Jobs:  len(l.jobs),
		Calls: l.calls.Load(),
		P50MS: l.responseTimes.ValueAtQuantile(50),
		P99MS: l.responseTimes.ValueAtQuantile(99),
		MaxMS: l.responseTimes.Max(),
	}
	for id, n := range counts {
		r.Starts += n
		if n > 1 {
			r.StartedTwice = append(r.StartedTwice, id)
		}
	}
	for _, j := range l.jobs {
		r.addJob(j, counts)
	}
	return r, nil
}

// addJob adds a job to the report and checks its answer. counts holds the number of
// starts of each task.
func (r *loadReport) addJob(j finishedJob, counts map[string]int) {
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
		falseDone := t.Phase == string(carobpulley.PhaseDone) && n != 1
		falseNotRun := t.Phase == string(carobpulley.PhaseNotRun) && n != 0
		if falseDone || falseNotRun {
			r.FalseAnswers = append(r.FalseAnswers, fmt.Sprintf("%s is %s and started %d times", id, t.Phase, n))
		}
	}
}

// checkNotRun checks that no task of a job that is answered as not run has started.
func (r *loadReport) checkNotRun(key string, counts map[string]int) {
	for id, n := range counts {
		if strings.HasPrefix(id, key+"#") && n > 0 {
			r.FalseAnswers = append(r.FalseAnswers, id+" belongs to a job that is not run and started")
		}
	}
}

// readStarts reads an endpoint's record of starts and adds those of this load test to
// counts.
func (l *loadTest) readStarts(ctx context.Context, base string, counts map[string]int) error {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
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
