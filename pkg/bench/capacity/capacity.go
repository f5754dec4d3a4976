package capacity

import (
	"math"
	"runtime"
	"slices"
	"time"
)

// LinearFit holds a cost Y measured at sizes X and the line fitted to it.
type LinearFit struct {
	Name      string    `json:"name"`
	Role      string    `json:"role"`
	XUnit     string    `json:"x_unit"`
	YUnit     string    `json:"y_unit"`
	X         []float64 `json:"x"`
	Y         []float64 `json:"y"`
	Slope     float64   `json:"slope"`
	Intercept float64   `json:"intercept"`
	Residual  float64   `json:"residual"` // largest distance of a point from the line, as a fraction of the largest Y
}

// At returns the cost that the line predicts at size x.
func (f LinearFit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// fit computes the least-squares line and its residual.
func (f *LinearFit) fit() {
	n := float64(len(f.X))
	var sx, sy, sxx, sxy float64
	for i := range f.X {
		sx += f.X[i]
		sy += f.Y[i]
		sxx += f.X[i] * f.X[i]
		sxy += f.X[i] * f.Y[i]
	}
	f.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.Intercept = (sy - f.Slope*sx) / n
	largest := slices.Max(f.Y)
	for i := range f.X {
		if largest > 0 {
			f.Residual = max(f.Residual, math.Abs(f.Y[i]-f.At(f.X[i]))/largest)
		}
	}
}

// measurement is a cost and the function that measures it at a size.
type measurement struct {
	name, role, xUnit, yUnit string
	sizes                    []int
	run                      func(size int) (float64, error)
}

// Run takes every measurement and fits a line to each.
func Run() (fits []LinearFit, err error) {
	for _, m := range measurements() {
		f := LinearFit{Name: m.name, Role: m.role, XUnit: m.xUnit, YUnit: m.yUnit}
		for _, size := range m.sizes {
			y, err := m.run(size)
			if err != nil {
				return nil, err
			}
			f.X = append(f.X, float64(size))
			f.Y = append(f.Y, y)
		}
		f.fit()
		fits = append(fits, f)
	}
	return fits, nil
}

const (
	timingRounds = 7
	minRoundTime = 20 * time.Millisecond
)

// medianTimeUs returns the median time of one call of f in microseconds, after a warm-up call.
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

// retainedHeapKB returns the heap memory that the result of f retains, in KB.
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
