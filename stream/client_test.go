package stream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobpulley"
	"carobpulley/memlog"
)

var logAddr = netip.MustParseAddrPort("192.0.2.1:7000")

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// direct returns a client that calls a handler without a network, so that time stays
// virtual.
func direct(h http.Handler) *http.Client {
	return &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Result(), nil
	})}
}

// Guards against a protocol that loses fields, or a read that waits for the wrong
// time.
func TestClientRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := memlog.New(memlog.Retention{}, time.Now)
		c := NewClient(logAddr, direct(Handler(l)))
		start := time.Now()
		time.AfterFunc(3*time.Second, func() { _, _ = c.Append(context.Background(), "a/b", "id 1", []byte{0, 255}) })
		page, err := c.Read(t.Context(), "a/b", 0, 10, start.Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		want := carobpulley.Page{Oldest: 1, Next: 2, Records: []carobpulley.Record{{Offset: 1, ID: "id 1", Time: start.Add(3 * time.Second), Data: []byte{0, 255}}}}
		if diff := cmp.Diff(want, page); diff != "" {
			t.Error(diff)
		}
		if took := time.Since(start); took != 3*time.Second {
			t.Errorf("waiting read took %v, want 3s", took)
		}
		page, err = c.Read(t.Context(), "a/b", 2, 10, start.Add(10*time.Second))
		if err != nil || len(page.Records) != 0 || time.Since(start) != 10*time.Second {
			t.Errorf("read at the tail: %+v %v after %v, want an empty page after 10s", page, err, time.Since(start))
		}
	})
}

// Guards against an error kind that means "not added" although the append may have
// taken effect, which would make the writer append a duplicate.
func TestClientErrorKinds(t *testing.T) {
	l := memlog.New(memlog.Retention{}, time.Now)
	broken := func(op string) *http.Client {
		return &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) { return nil, &net.OpError{Op: op, Err: io.EOF} })}
	}
	answer := func(status int, body string) *http.Client {
		return direct(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
	}
	for _, tt := range []struct {
		name         string
		faults       memlog.Faults
		http         *http.Client
		append, read carobpulley.Kind
	}{
		{"outage", memlog.Faults{Outage: true}, direct(Handler(l)), carobpulley.KindUnavailable, carobpulley.KindUnavailable},
		{"lost answer", memlog.Faults{LostAnswers: 1}, direct(Handler(l)), carobpulley.KindUnknown, ""},
		{"refused", memlog.Faults{}, answer(400, `{}`), carobpulley.KindInvalid, carobpulley.KindInvalid},
		{"not connected", memlog.Faults{}, broken("dial"), carobpulley.KindUnavailable, carobpulley.KindUnavailable},
		{"connection cut", memlog.Faults{}, broken("read"), carobpulley.KindUnknown, carobpulley.KindUnavailable},
		{"proxy error", memlog.Faults{}, answer(502, `<html>`), carobpulley.KindUnknown, carobpulley.KindUnavailable},
		{"no offset", memlog.Faults{}, answer(200, `{}`), carobpulley.KindUnknown, carobpulley.KindUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l.SetFaults(tt.faults)
			c := NewClient(logAddr, tt.http)
			_, err := c.Append(t.Context(), "s", "id", nil)
			var e *Error
			if !errors.As(err, &e) || e.Op != "append" || e.Kind != tt.append || kindOf(err) != tt.append {
				t.Errorf("append: got %v, want kind %s", err, tt.append)
			}
			_, err = c.Read(t.Context(), "s", 1, 10, time.Time{})
			if tt.read == "" && err != nil || tt.read != "" && kindOf(err) != tt.read {
				t.Errorf("read: got %v, want kind %q", err, tt.read)
			}
		})
	}
}

// Guards against a response of the log that crashes the client, or makes a reader
// skip or repeat a record.
func FuzzDecodeAnswers(f *testing.F) {
	f.Add([]byte(`{"offset":7}`), uint64(0), 1)
	f.Add([]byte(`{"records":[{"offset":3,"id":"a","time":"2026-01-02T03:04:05Z","data":"AP8="}],"oldest":3,"next":4}`), uint64(1), 2)
	f.Add([]byte(`{"records":[{"offset":18446744073709551615,"id":"a"}],"oldest":1,"next":18446744073709551615}`), uint64(18446744073709551615), 2)
	f.Add([]byte(`{"records":[],"oldest":5,"next":5}`), uint64(9), 1)
	f.Fuzz(func(t *testing.T, data []byte, from uint64, limit int) {
		if offset, err := decodeAppend(data); err == nil && offset == 0 {
			t.Error("accepted offset 0")
		}
		page, err := decodePage(data, from, limit)
		if err != nil {
			return
		}
		next := max(from, page.Oldest)
		for _, r := range page.Records {
			if r.Offset != next || r.Offset >= page.Next {
				t.Errorf("record at %d, want %d before %d", r.Offset, next, page.Next)
			}
			next++
		}
	})
}
