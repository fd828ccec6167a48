package main

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestFit guards against wrong slopes, intercepts and errors, from which the figures
// of docs/CAPACITY.md are computed.
func TestFit(t *testing.T) {
	for _, c := range []struct {
		name string
		x, y []float64
		want fittedLine
	}{
		{"exact line", []float64{1, 20, 120}, []float64{103, 160, 460}, fittedLine{Slope: 3, Intercept: 100}},
		// Residuals are 1/3, -2/3 and 1/3.
		{"scattered", []float64{0, 1, 2}, []float64{1, 1, 3}, fittedLine{
			Slope: 1, Intercept: 2.0 / 3, SlopeError: math.Sqrt(1.0 / 3), Error: math.Sqrt(2.0/9) / (5.0 / 3),
		}},
		{"falling", []float64{0, 10, 20}, []float64{20, 10, 0}, fittedLine{Slope: -1, Intercept: 20}},
		{"two points", []float64{1, 2}, []float64{1, 2}, fittedLine{}},
		{"one size", []float64{5, 5, 5}, []float64{1, 2, 3}, fittedLine{}},
		{"no values", []float64{1, 2, 3}, []float64{1, 2}, fittedLine{}},
	} {
		if d := cmp.Diff(c.want, fitLine(c.x, c.y), cmpopts.EquateApprox(0, 1e-9)); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, d)
		}
	}
}

// TestHeap guards against a measurement that misses live memory or includes garbage.
func TestHeap(t *testing.T) {
	const size = 8 << 20
	// The measurement includes the stacks in use, and those of the runtime can shrink
	// by a few spans of 32 KiB during it.
	const stackMargin = 128 << 10
	got := heapBytes(func() any {
		_ = make([]byte, size)
		return make([]byte, size)
	})
	if got < size-stackMargin || got > size*3/2 {
		t.Errorf("heap of %d bytes measured as %.0f", size, got)
	}
}
