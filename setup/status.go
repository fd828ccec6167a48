package setup

import (
	"expvar"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

var publishVersion = sync.OnceFunc(func() {
	expvar.NewString("version").Set(Version())
})

// NewLogger returns a logger that writes JSON lines with the program's name and the time
// in UTC.
func NewLogger(w io.Writer, level zerolog.Level, program string) zerolog.Logger {
	return zerolog.New(w).Level(level).Hook(zerolog.HookFunc(addTimestamp)).
		With().Str("program", program).Logger()
}

func addTimestamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
}

// MountStatus registers the status pages:
//
//	/debug/vars  metrics and version as JSON
//	/healthz     200 while the process runs
//	/readyz      200, or 503 with the error that ready returns
func MountStatus(mux *http.ServeMux, ready func() error) {
	publishVersion()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	})
}
