package stream

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"carobpulley"
)

// Handler returns an HTTP handler that serves a Log with the protocol in
// docs/log.md.
func Handler(log carobpulley.Log) http.Handler {
	h := &handler{log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", h.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", h.read)
	return mux
}

type handler struct{ log carobpulley.Log }

func (h *handler) append(w http.ResponseWriter, r *http.Request) {
	var body appendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody)).Decode(&body); err != nil {
		writeError(w, &Error{Op: "append", Kind: carobpulley.KindInvalid, Err: err})
		return
	}
	if len(body.Data) > MaxRecordBytes {
		writeError(w, &Error{Op: "append", Kind: carobpulley.KindInvalid, Err: errors.New("record too large")})
		return
	}
	offset, err := h.log.Append(r.Context(), r.PathValue("stream"), body.ID, body.Data)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, appendResponse{Offset: offset})
}

func (h *handler) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err2 := strconv.ParseUint(q.Get("limit"), 10, 31)
	wait, err3 := strconv.ParseUint(q.Get("wait_ms"), 10, 31)
	if err := errors.Join(err1, err2, err3); err != nil {
		writeError(w, &Error{Op: "read", Kind: carobpulley.KindInvalid, Err: err})
		return
	}
	until := time.Now().Add(min(time.Duration(wait)*time.Millisecond, MaxWait))
	page, err := h.log.Read(r.Context(), r.PathValue("stream"), from, min(int(limit), MaxRecords), until)
	if err != nil {
		writeError(w, err)
		return
	}
	response := pageResponse{Records: []recordResponse{}, Oldest: page.Oldest, Next: page.Next}
	for _, rec := range page.Records {
		response.Records = append(response.Records, recordResponse(rec))
	}
	writeJSON(w, http.StatusOK, response)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected; the response counts as lost.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	kind := kindOf(err)
	writeJSON(w, statusOf(kind), errorResponse{Kind: kind, Message: err.Error()})
}
