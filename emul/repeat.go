package emul

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"carobpulley/wire/relay"
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

// SetOrdersHeld starts or stops the loss of the dispatches to an agent on their arrival, while its own
// reports are answered.
func (f *Fleet) SetOrdersHeld(agent string, held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heldOrders[agent] = held
}

// holdingOrders returns a function that makes an agent's handler lose dispatches while they are held.
func (f *Fleet) holdingOrders(agent string) func(path string, h http.Handler) (string, http.Handler) {
	return func(path string, h http.Handler) (string, http.Handler) {
		return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			held := f.heldOrders[agent]
			f.mu.Unlock()
			if held && r.URL.Path == relay.AgentServiceOrderProcedure {
				// The context of a request ends with its connection once its body is read.
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				return
			}
			h.ServeHTTP(w, r)
		})
	}
}
