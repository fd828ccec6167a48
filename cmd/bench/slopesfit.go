package main

import (
	"cmp"
	"math"
	"runtime"
	"slices"
	"syscall"
)

// line is a fitted line.
type line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// SlopeError is the standard error of Slope.
	SlopeError float64 `json:"slope_error"`
	// Error is the root mean square of the residuals over the mean value.
	Error float64 `json:"error"`
}

// fit returns the least-squares line through at least three points with
// different x. Other input gives the zero line.
func fit(x, y []float64) line {
	n := float64(len(x))
	if len(x) < 3 || len(x) != len(y) {
		return line{}
	}
	mx, my := sum(x)/n, sum(y)/n
	var sxx, sxy float64
	for i := range x {
		sxx += (x[i] - mx) * (x[i] - mx)
		sxy += (x[i] - mx) * (y[i] - my)
	}
	if sxx == 0 {
		return line{}
	}
	l := line{Slope: sxy / sxx}
	l.Intercept = my - l.Slope*mx
	var rest float64
	for i := range x {
		r := y[i] - l.Intercept - l.Slope*x[i]
		rest += r * r
	}
	l.SlopeError = math.Sqrt(rest / (n - 2) / sxx)
	if my != 0 {
		l.Error = math.Sqrt(rest/n) / math.Abs(my)
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

// samples is the number of repetitions of which the median is taken.
const samples = 5

// used is processor time in ns, of which system is spent in the kernel.
type used struct{ total, system float64 }

// cpu returns the processor time in ns of one call of f, as cpuParts does.
func cpu(times int, f func()) float64 {
	return cpuParts(times, f).total
}

// cpuParts returns the processor time of one call of f: the sample with the
// median total. times calls make a sample, so that it lasts longer than the
// clock's step.
func cpuParts(times int, f func()) used {
	got := make([]used, 0, samples)
	for range samples {
		runtime.GC()
		start := processTime()
		for range times {
			f()
		}
		end := processTime()
		got = append(got, used{
			total:  (end.total - start.total) / float64(times),
			system: (end.system - start.system) / float64(times),
		})
	}
	slices.SortFunc(got, func(a, b used) int { return cmp.Compare(a.total, b.total) })
	return got[len(got)/2]
}

// processTime is the processor time that this process has used.
func processTime() used {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return used{total: float64(u.Utime.Nano() + u.Stime.Nano()), system: float64(u.Stime.Nano())}
}

// maxResident is the largest resident size of this process in bytes.
func maxResident() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return u.Maxrss << 10
}

// heapBytes returns the bytes of heap and stacks that the result of build keeps
// alive. What build shares with its surroundings must be kept alive there.
func heapBytes(build func() any) float64 {
	before := heapAlloc()
	v := build()
	after := heapAlloc()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

// heapAlloc collects twice, so that what finalizers free is gone too.
func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
