package main

import "net/http"

// messageType is the content type of the messages between processes.
const messageType = "application/proto"

// onlyMessages passes on requests in the one form in which carobd processes send them. The other protocols
// and encodings that connect understands are refused: a compressed message may take a thousand times its
// size, and the envelopes of streams declare sizes that have not arrived.
func onlyMessages(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		compressed := r.Header.Get("Content-Encoding")
		if r.Method != http.MethodPost || r.Header.Get("Content-Type") != messageType || compressed != "" && compressed != "identity" {
			http.Error(w, "only messages of carobd processes", http.StatusUnsupportedMediaType)
			return
		}
		h.ServeHTTP(w, r)
	})
}
