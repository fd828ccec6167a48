package stream

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"carobpulley"
)

// Handler serves a Log by the protocol in docs/log.md.
func Handler(log carobpulley.Log) http.Handler {
	h := &handler{log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", h.append)
	mux.HandleFunc("GET /v1/streams/{stream}/records", h.read)
	return mux
}

type handler struct{ log carobpulley.Log }

func (h *handler) append(w http.ResponseWriter, r *http.Request) {
	var body appendBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppendBody)).Decode(&body); err != nil {
		replyError(w, &Error{Op: "append", Kind: carobpulley.KindInvalid, Err: err})
		return
	}
	if len(body.Data) > MaxRecordBytes {
		replyError(w, &Error{Op: "append", Kind: carobpulley.KindInvalid, Err: errors.New("record too large")})
		return
	}
	offset, err := h.log.Append(r.Context(), r.PathValue("stream"), body.ID, body.Data)
	if err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, appendAnswer{Offset: offset})
}

func (h *handler) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err2 := strconv.ParseUint(q.Get("limit"), 10, 31)
	wait, err3 := strconv.ParseUint(q.Get("wait_ms"), 10, 31)
	if err := errors.Join(err1, err2, err3); err != nil {
		replyError(w, &Error{Op: "read", Kind: carobpulley.KindInvalid, Err: err})
		return
	}
	until := time.Now().Add(min(time.Duration(wait)*time.Millisecond, MaxWait))
	page, err := h.log.Read(r.Context(), r.PathValue("stream"), from, min(int(limit), MaxRecords), until)
	if err != nil {
		replyError(w, err)
		return
	}
	answer := pageAnswer{Records: []recordAnswer{}, Oldest: page.Oldest, Next: page.Next}
	for _, rec := range page.Records {
		answer.Records = append(answer.Records, recordAnswer(rec))
	}
	reply(w, http.StatusOK, answer)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has left; it counts as a lost answer.
	_ = json.NewEncoder(w).Encode(v)
}

func replyError(w http.ResponseWriter, err error) {
	kind := kindOf(err)
	reply(w, statusOf(kind), errorAnswer{Kind: kind, Message: err.Error()})
}
