package place

// readyHeap orders the endpoints of a service that have room by expected finish.
type readyHeap []*member

func (h readyHeap) Len() int           { return len(h) }
func (h readyHeap) Less(i, j int) bool { return h[i].score < h[j].score }

func (h readyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *readyHeap) Push(x any) {
	m := x.(*member)
	m.place = len(*h)
	*h = append(*h, m)
}

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	last := len(*h) - 1
	m := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	m.place = -1
	return m
}

// wakeHeap orders endpoints by their next time event.
type wakeHeap []*endpoint

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(i, j int) bool { return h[i].wakeAt.Before(h[j].wakeAt) }

func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].wake, h[j].wake = i, j
}

// Push implements heap.Interface.
func (h *wakeHeap) Push(x any) {
	e := x.(*endpoint)
	e.wake = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.wake = -1
	return e
}
