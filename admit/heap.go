package admit

// node is an item of a tree: it knows its order and its own position.
type node[T any] interface {
	before(T) bool
	// position points to the index in the tree, -1 outside.
	position() *int
}

// tree is a binary heap whose items know their position. It implements
// heap.Interface.
type tree[T node[T]] []T

func (h tree[T]) Len() int           { return len(h) }
func (h tree[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h tree[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].position(), *h[j].position() = i, j
}

// Push implements heap.Interface.
func (h *tree[T]) Push(x any) {
	n := x.(T)
	*n.position() = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *tree[T]) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	var zero T
	(*h)[last] = zero
	*h = (*h)[:last]
	*n.position() = -1
	return n
}
