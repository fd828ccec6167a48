package emul

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// maxRepeatDelay bounds how much later than a message its copy arrives.
const maxRepeatDelay = 4 * time.Second

// SetRepeatRate sets the share of messages between processes that arrive a second time, up to
// maxRepeatDelay later and so after messages sent since. The sender gets no answer to the copy.
func (f *Fleet) SetRepeatRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repeatRate = rate
}

// repeatDelay reports whether a message is to be repeated, and how much later.
func (f *Fleet) repeatDelay() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.repeatRate == 0 || f.repeatRNG.Float64() >= f.repeatRate {
		return 0, false
	}
	return time.Duration(f.repeatRNG.Int64N(int64(maxRepeatDelay))), true
}

// repeated returns a handler that gives some requests to h twice.
func (f *Fleet) repeated(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		delay, ok := f.repeatDelay()
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(f.ctx, 2*maxRepeatDelay)
		again := r.Clone(ctx)
		again.Body = io.NopCloser(bytes.NewReader(body))
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			defer cancel()
			select {
			case <-time.After(delay):
				h.ServeHTTP(httptest.NewRecorder(), again)
			case <-ctx.Done():
			}
		}()
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}
