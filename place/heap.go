package place

// readyHeap orders the endpoints with free capacity for a service by expected
// finish.
type readyHeap []*endpointService

func (h readyHeap) Len() int           { return len(h) }
func (h readyHeap) Less(i, j int) bool { return h[i].score < h[j].score }

func (h readyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *readyHeap) Push(x any) {
	es := x.(*endpointService)
	es.heapIndex = len(*h)
	*h = append(*h, es)
}

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	last := len(*h) - 1
	es := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	es.heapIndex = -1
	return es
}

// timerHeap orders endpoints by the time of their next state change.
type timerHeap []*endpoint

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].timerAt.Before(h[j].timerAt) }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	e := x.(*endpoint)
	e.timerIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.timerIndex = -1
	return e
}
