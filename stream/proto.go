package stream

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"carobpulley"
)

// Limits of the protocol in docs/log.md.
const (
	// MaxRecordBytes is the largest size of a record's data.
	MaxRecordBytes = 4 << 20
	// MaxRecords is the largest number of records in a page.
	MaxRecords = 1000
	// MaxWait is the longest wait of one HTTP read. It bounds how long a server that
	// shuts down waits for its readers.
	MaxWait = 2 * time.Second
	// maxRequestBody has space for a record in base64 with its id.
	maxRequestBody = MaxRecordBytes*4/3 + 1<<16
	// maxResponseBody has space for a page of 8 MiB and one more record in base64.
	maxResponseBody = 32 << 20
)

// appendRequest is the body of an append request.
type appendRequest struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// appendResponse is the response to an append.
type appendResponse struct {
	Offset uint64 `json:"offset"`
}

// pageResponse is the response to a read.
type pageResponse struct {
	Records []recordResponse `json:"records"`
	Oldest  uint64           `json:"oldest"`
	Next    uint64           `json:"next"`
}

type recordResponse struct {
	Offset uint64    `json:"offset"`
	ID     string    `json:"id"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// errorResponse is the response to a request that failed.
type errorResponse struct {
	Kind    carobpulley.Kind `json:"kind"`
	Message string           `json:"message"`
}

// statusOf returns the HTTP status of a kind.
func statusOf(k carobpulley.Kind) int {
	switch k {
	case carobpulley.KindInvalid:
		return http.StatusBadRequest
	case carobpulley.KindUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// kindOfStatus returns the kind of an HTTP status other than 200. A status that the
// protocol does not define is KindUnknown, since it may come from a proxy after the
// append took effect.
func kindOfStatus(status int) carobpulley.Kind {
	switch status {
	case http.StatusBadRequest:
		return carobpulley.KindInvalid
	case http.StatusServiceUnavailable:
		return carobpulley.KindUnavailable
	default:
		return carobpulley.KindUnknown
	}
}

// decodeAppend decodes the response to an append.
func decodeAppend(data []byte) (uint64, error) {
	var a appendResponse
	if err := json.Unmarshal(data, &a); err != nil {
		return 0, errors.Wrap(err, "decode append answer")
	}
	if a.Offset == 0 {
		return 0, errors.New("append answer without offset")
	}
	return a.Offset, nil
}

// decodePage decodes the response to a read. It accepts only a page whose records
// are consecutive from the requested or the oldest offset, so that a reader never
// skips a record.
func decodePage(data []byte, from uint64, limit int) (carobpulley.Page, error) {
	var a pageResponse
	if err := json.Unmarshal(data, &a); err != nil {
		return carobpulley.Page{}, errors.Wrap(err, "decode page")
	}
	if a.Oldest == 0 || a.Next < a.Oldest {
		return carobpulley.Page{}, errors.Errorf("page with oldest offset %d and next offset %d", a.Oldest, a.Next)
	}
	if len(a.Records) > limit {
		return carobpulley.Page{}, errors.Errorf("page of %d records, asked for %d", len(a.Records), limit)
	}
	page := carobpulley.Page{Oldest: a.Oldest, Next: a.Next}
	want := max(from, a.Oldest)
	for _, r := range a.Records {
		if r.Offset != want || r.Offset >= a.Next || r.ID == "" {
			return carobpulley.Page{}, errors.Errorf("record %q at offset %d, want offset %d before %d", r.ID, r.Offset, want, a.Next)
		}
		want++
		page.Records = append(page.Records, carobpulley.Record(r))
	}
	return page, nil
}
