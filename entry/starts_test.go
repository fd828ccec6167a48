package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// startRecorder serves the tasks at all endpoints and records their starts. Tests
// compare answers with this record.
type startRecorder struct {
	mu        sync.Mutex
	byTask    map[string][]start
	byPayload map[string]int
	// closed counts the requests that were closed early, by job and task.
	closed map[string]int
	// answers holds the answers to requests by payload, as awaitStart reports them.
	answers map[string]error
	release chan struct{}
}

type start struct {
	domain string
	at     time.Time
}

func (s *startRecorder) add(r *http.Request, domain, payload string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byPayload[payload]++
	id := r.Header.Get("X-Carob-Job") + "#" + r.Header.Get("X-Carob-Task")
	s.byTask[id] = append(s.byTask[id], start{domain: domain, at: time.Now()})
	return id
}

func (s *startRecorder) addClosed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed[id]++
}

// taskStarts returns the number of starts of a task.
func (s *startRecorder) taskStarts(key string, task int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byTask[fmt.Sprintf("rentals/%s#%d", key, task)])
}

// serve handles a task as its payload's prefix demands.
func (s *startRecorder) serve(w http.ResponseWriter, r *http.Request, domain string, runTime time.Duration) {
	body, err := io.ReadAll(r.Body)
	payload := string(body)
	id := s.add(r, domain, payload)
	switch {
	case err != nil:
		s.addClosed(id)
		return
	case strings.HasPrefix(payload, failPayload):
		if strings.HasPrefix(payload, slowFailPayload) {
			time.Sleep(failDelay)
		}
		http.Error(w, "no van", http.StatusInternalServerError)
		return
	case strings.HasPrefix(payload, holdPayload):
		select {
		case <-s.release:
		case <-r.Context().Done():
			s.addClosed(id)
			return
		}
	default:
		time.Sleep(runTime)
	}
	_, _ = w.Write(body)
}

// payloadStarts returns the number of starts with a payload.
func (s *startRecorder) payloadStarts(payload string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byPayload[payload]
}

// addAnswer records the answer to a request.
func (s *startRecorder) addAnswer(payload string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[payload] = err
}

// answer returns the answer to a request, if it has got one.
func (s *startRecorder) answer(payload string) (err error, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err, answered = s.answers[payload]
	return err, answered
}

// anyIn reports whether a task has started in a domain.
func (s *startRecorder) anyIn(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range s.byTask {
		for i := range list {
			if list[i].domain == domain {
				return true
			}
		}
	}
	return false
}

// anyStart reports whether a payload with the prefix has started.
func (s *startRecorder) anyStart(prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for payload := range s.byPayload {
		if strings.HasPrefix(payload, prefix) {
			return true
		}
	}
	return false
}

// checkNoRepeats fails the test for every task that started more than once.
func (s *startRecorder) checkNoRepeats(t testing.TB) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, list := range s.byTask {
		if len(list) > 1 {
			t.Errorf("%s started %d times", id, len(list))
		}
	}
}
