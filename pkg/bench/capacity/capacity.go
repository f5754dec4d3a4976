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

// Slope is one measured cost by size with its fitted line.
type Slope struct {
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
func (s Slope) At(x float64) float64 { return s.Intercept + s.Slope*x }

// fit finds the least-squares line.
func (s *Slope) fit() {
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

// measure is a cost that can be measured at a size.
type measure struct {
	name, role, xUnit, yUnit string
	sizes                    []int
	at                       func(size int) (float64, error)
}

// Run measures every slope.
func Run() (slopes []Slope, err error) {
	for _, m := range measures() {
		s := Slope{Name: m.name, Role: m.role, XUnit: m.xUnit, YUnit: m.yUnit}
		for _, size := range m.sizes {
			y, err := m.at(size)
			if err != nil {
				return nil, err
			}
			s.X = append(s.X, float64(size))
			s.Y = append(s.Y, y)
		}
		s.fit()
		slopes = append(slopes, s)
	}
	return slopes, nil
}

const (
	timingRounds = 7
	timingSpan   = 20 * time.Millisecond // of one round, at least
)

// timeOf returns the median time of one call in microseconds.
func timeOf(f func()) float64 {
	f()
	var rounds []float64
	for range timingRounds {
		began, n := time.Now(), 0
		for time.Since(began) < timingSpan {
			f()
			n++
		}
		rounds = append(rounds, float64(time.Since(began).Nanoseconds())/1000/float64(n))
	}
	slices.Sort(rounds)
	return rounds[len(rounds)/2]
}

// heapOf returns the heap that f's result keeps, in KB.
func heapOf[T any](f func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)) / 1024
}
