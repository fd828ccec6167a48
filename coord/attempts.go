package coord

import "time"

// attemptRetention is how long an attempt to submit is remembered. A copy of its message that
// arrives later than this has no effect that its caller could be told wrong: the caller has left.
const attemptRetention = 10 * time.Second

// attempt identifies one message that forwards a submission to the owner of its shard.
type attempt struct {
	coordinator string
	incarnation uint64
	number      uint64
}

// attempts remembers the attempts that were handled here. An attempt that was refused must not be
// carried out when a copy of its message arrives: its caller was told that the job never runs.
type attempts struct {
	handledAt map[attempt]time.Time
	// order holds the attempts from the oldest on.
	order []attempt
}

// begin records an attempt. It reports false if the attempt was handled before.
func (h *attempts) begin(now time.Time, a attempt) bool {
	for len(h.order) > 0 && now.Sub(h.handledAt[h.order[0]]) > attemptRetention {
		delete(h.handledAt, h.order[0])
		h.order = h.order[1:]
	}
	if _, handled := h.handledAt[a]; handled {
		return false
	}
	if h.handledAt == nil {
		h.handledAt = make(map[attempt]time.Time)
	}
	h.handledAt[a] = now
	h.order = append(h.order, a)
	return true
}
