// Package capacity measures what each role of an entry costs by size, fits a
// line and works out the cost at the size to design for.
//
// What is measured runs here, in one process and on the product's own code;
// what a line gives beyond the largest measured size is marked as extrapolated.
package capacity

import (
	"math"
	"runtime"
	"slices"
	"time"
)

// LinearFit is one measured cost by size with its fitted line.
type LinearFit struct {
	Name      string    `json:"name"`
	Role      string    `json:"role"`
	XUnit     string    `json:"x_unit"`
	YUnit     string    `json:"y_unit"`
	X         []float64 `json:"x"`
	Y         []float64 `json:"y"`
	Slope     float64   `json:"slope"`
	Intercept float64   `json:"intercept"`
	Residual  float64   `json:"residual"` // largest distance of a point from the line, as a share of the largest y
}

// At returns the line's value.
func (s LinearFit) At(x float64) float64 { return s.Intercept + s.Slope*x }

// fit finds the least-squares line.
func (s *LinearFit) fit() {
	n := float64(len(s.X))
	var sx, sy, sxx, sxy float64
	for i := range s.X {
		sx += s.X[i]
		sy += s.Y[i]
		sxx += s.X[i] * s.X[i]
		sxy += s.X[i] * s.Y[i]
	}
	s.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Intercept = (sy - s.Slope*sx) / n
	largest := slices.Max(s.Y)
	for i := range s.X {
		if largest > 0 {
			s.Residual = max(s.Residual, math.Abs(s.Y[i]-s.At(s.X[i]))/largest)
		}
	}
}

// measurement is a cost that can be measured at a size.
type measurement struct {
	name, role, xUnit, yUnit string
	sizes                    []int
	run                      func(size int) (float64, error)
}

// Run measures every slope.
func Run() (fits []LinearFit, err error) {
	for _, m := range measurements() {
		s := LinearFit{Name: m.name, Role: m.role, XUnit: m.xUnit, YUnit: m.yUnit}
		for _, size := range m.sizes {
			y, err := m.run(size)
			if err != nil {
				return nil, err
			}
			s.X = append(s.X, float64(size))
			s.Y = append(s.Y, y)
		}
		s.fit()
		fits = append(fits, s)
	}
	return fits, nil
}

const (
	timingRounds = 7
	minRoundTime = 20 * time.Millisecond // of one round, at least
)

// medianTimeUs returns the median time of one call in microseconds.
func medianTimeUs(f func()) float64 {
	f()
	var rounds []float64
	for range timingRounds {
		start, n := time.Now(), 0
		for time.Since(start) < minRoundTime {
			f()
			n++
		}
		rounds = append(rounds, float64(time.Since(start).Nanoseconds())/1000/float64(n))
	}
	slices.Sort(rounds)
	return rounds[len(rounds)/2]
}

// retainedHeapKB returns the heap that f's result keeps, in KB.
func retainedHeapKB[T any](f func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)) / 1024
}
