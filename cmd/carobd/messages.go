package main

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

const (
	// messageType is the content type of the messages between processes.
	messageType = "application/proto"
	// largeMessageBytes is the size from which messages are checked before they are decoded.
	largeMessageBytes = 32 << 10
	// meanElementBytes is the least mean size of the elements of a large message beyond sparedElements. The
	// name of a run or the id of a job alone has more. An element of two bytes can take 150 when it is
	// decoded: 4 MiB of empty ones took a coordinator to 154 MB.
	meanElementBytes = 16
	sparedElements   = 2048
)

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
		if r.ContentLength >= 0 && r.ContentLength < largeMessageBytes {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if elements(inputOf(r.URL.Path), body) > len(body)/meanElementBytes+sparedElements {
			http.Error(w, "message of too many elements", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}

// inputOf returns the type of the messages to a procedure; nil if there is no such procedure.
func inputOf(path string) protoreflect.MessageDescriptor {
	name := protoreflect.FullName(strings.ReplaceAll(strings.TrimPrefix(path, "/"), "/", "."))
	found, err := protoregistry.GlobalFiles.FindDescriptorByName(name)
	if err != nil {
		return nil
	}
	if method, ok := found.(protoreflect.MethodDescriptor); ok {
		return method.Input()
	}
	return nil
}

// elements returns the number of messages and list elements, at all depths, of an encoded message up to the
// first field that can't be read, at which decoding fails too. A list of numbers counts as one if it is packed.
func elements(kind protoreflect.MessageDescriptor, b []byte) int {
	count := 0
	for kind != nil && len(b) > 0 {
		number, wire, n := protowire.ConsumeTag(b)
		if n < 0 {
			break
		}
		size := protowire.ConsumeFieldValue(number, wire, b[n:])
		if size < 0 {
			break
		}
		field := kind.Fields().ByNumber(number)
		if field != nil && (field.IsList() || field.Message() != nil) {
			count++
		}
		if field != nil && field.Message() != nil && wire == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(b[n:])
			count += elements(field.Message(), value)
		}
		b = b[n+size:]
	}
	return count
}
