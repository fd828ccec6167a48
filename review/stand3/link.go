//go:build review

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"carobpulley"
	"carobpulley/platform/stand"
)

const (
	// chunkBytes is what passes a link at a time, so that its connections share it.
	chunkBytes = 4 << 10
	// storeAnswerTime is the time of an answer of the store.
	storeAnswerTime = 4 * time.Millisecond
	// pageItems and pageBytes bound a page of the newest records.
	pageItems = 500
	pageBytes = 1 << 20
)

// link is a machine's link with a bandwidth.
type link struct {
	mbps float64
	mu   sync.Mutex
	free time.Time
}

// pass waits until bytes have passed the link.
func (l *link) pass(n int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) * 8 / (l.mbps * 1e6) * float64(time.Second)))
	free := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(free))
}

// linkListener accepts connections that pass a link.
type linkListener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return linkConn{c, l.link}, nil
}

type linkConn struct {
	net.Conn
	link *link
}

// Read implements net.Conn.
func (c linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), chunkBytes)])
	c.link.pass(n)
	return n, err
}

// Write implements net.Conn.
func (c linkConn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		chunk := b[sent:min(sent+chunkBytes, len(b))]
		c.link.pass(len(chunk))
		n, err := c.Conn.Write(chunk)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// storeHandler serves the store's calls. Unlike the project's stand-in it returns the newest records in pages.
func storeHandler(store carobpulley.Store) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", stand.StoreHandler(store))
	mux.HandleFunc("GET /log-newest", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		writeNewest(r.Context(), w, store, r.URL.Query().Get("topic"), r.URL.Query().Get("part"), r.URL.Query().Get("after"))
	})
	return mux
}

func writeNewest(ctx context.Context, w http.ResponseWriter, store carobpulley.Store, topic, part, after string) {
	number, _ := strconv.Atoi(part)
	records, end, err := store.Newest(ctx, carobpulley.Partition{Topic: topic, Number: number})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	slices.SortFunc(records, func(a, b carobpulley.KeyedRecord) int { return cmp.Compare(a.Key, b.Key) })
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		End   int64  `json:"end"`
	}{Items: []item{}, End: end}
	size := 0
	for i := range records {
		k := &records[i]
		if k.Key <= after && after != "" {
			continue
		}
		if len(page.Items) == pageItems || size > 0 && size+len(k.Value) > pageBytes {
			page.More = true
			break
		}
		size += len(k.Value)
		page.Items = append(page.Items, item{k.Key, k.Value, k.Offset})
	}
	b, err := json.Marshal(page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // an error means that the reader has left
}
