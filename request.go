package carobpulley

// RequestIndex is the Index of a TaskID that identifies a single request. The job
// key is then the request id, and the index distinguishes it from a job with the
// same key.
const RequestIndex = -1

// IsRequest reports whether the id identifies a single request.
func (id TaskID) IsRequest() bool {
	return id.Index == RequestIndex
}
