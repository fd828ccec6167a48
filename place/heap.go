package place

// readyHeap orders the endpoints of a service that have room by expected finish.
type readyHeap []*endpointService

func (h readyHeap) Len() int           { return len(h) }
func (h readyHeap) Less(i, j int) bool { return h[i].score < h[j].score }

func (h readyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *readyHeap) Push(x any) {
	m := x.(*endpointService)
	m.heapIndex = len(*h)
	*h = append(*h, m)
}

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	last := len(*h) - 1
	m := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	m.heapIndex = -1
	return m
}

// timerHeap orders endpoints by their next time event.
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
