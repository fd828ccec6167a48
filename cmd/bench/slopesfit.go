package main

import (
	"cmp"
	"math"
	"runtime"
	"slices"
	"syscall"
)

// fittedLine is a least-squares line and the quality of its fit.
type fittedLine struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// SlopeError is the standard error of Slope.
	SlopeError float64 `json:"slope_error"`
	// Error is the root mean square of the residuals divided by the mean value.
	Error float64 `json:"error"`
}

// fitLine returns the least-squares line through at least three points with
// different x. Other input gives the zero line.
func fitLine(x, y []float64) fittedLine {
	n := float64(len(x))
	if len(x) < 3 || len(x) != len(y) {
		return fittedLine{}
	}
	mx, my := sum(x)/n, sum(y)/n
	var sxx, sxy float64
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
	}
	if sxx == 0 {
		return fittedLine{}
	}
	l := fittedLine{Slope: sxy / sxx}
	l.Intercept = my - l.Slope*mx
	var residuals float64
	for i := range x {
		r := y[i] - l.Intercept - l.Slope*x[i]
		residuals += r * r
	}
	l.SlopeError = math.Sqrt(residuals / (n - 2) / sxx)
	if my != 0 {
		l.Error = math.Sqrt(residuals/n) / math.Abs(my)
	}
	return l
}

func sum(v []float64) float64 {
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total
}

// sampleCount is the number of samples of which the median is taken.
const sampleCount = 5

// cpuTime is processor time in ns; system is the part spent in the kernel.
type cpuTime struct{ total, system float64 }

// cpuNanos returns the total processor time in ns of one call of f, as measured by
// measureCPU.
func cpuNanos(calls int, f func()) float64 {
	return measureCPU(calls, f).total
}

// measureCPU returns the processor time of one call of f, from the sample with the
// median total. A sample is the mean over a number of calls, which makes it longer than
// the resolution of the clock.
func measureCPU(calls int, f func()) cpuTime {
	samples := make([]cpuTime, 0, sampleCount)
	for range sampleCount {
		runtime.GC()
		start := processTime()
		for range calls {
			f()
		}
		end := processTime()
		samples = append(samples, cpuTime{
			total:  (end.total - start.total) / float64(calls),
			system: (end.system - start.system) / float64(calls),
		})
	}
	slices.SortFunc(samples, func(a, b cpuTime) int { return cmp.Compare(a.total, b.total) })
	return samples[len(samples)/2]
}

// processTime returns the processor time that this process has used.
func processTime() cpuTime {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return cpuTime{total: float64(u.Utime.Nano() + u.Stime.Nano()), system: float64(u.Stime.Nano())}
}

// maxResidentBytes returns the largest resident set size of this process.
func maxResidentBytes() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return u.Maxrss << 10
}

// heapBytes returns the bytes of heap and stacks that the result of build keeps alive.
// The caller must keep alive the data that build shares with it.
func heapBytes(build func() any) float64 {
	before := heapInUse()
	v := build()
	after := heapInUse()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

// heapInUse returns the bytes of heap and stacks in use. It collects garbage twice, so
// that memory freed by finalizers is reclaimed too.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
