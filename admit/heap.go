package admit

// heapItem is an item of an indexedHeap.
type heapItem[T any] interface {
	// before reports whether the item is ordered before another one.
	before(T) bool
	// position points to the item's index in the heap, -1 if it is in none.
	position() *int
}

// indexedHeap is a binary heap whose items store their index, so that they can be
// moved or removed in logarithmic time. It implements heap.Interface.
type indexedHeap[T heapItem[T]] []T

func (h indexedHeap[T]) Len() int           { return len(h) }
func (h indexedHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].position(), *h[j].position() = i, j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*item.position() = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	var zero T
	(*h)[last] = zero
	*h = (*h)[:last]
	*item.position() = -1
	return item
}
