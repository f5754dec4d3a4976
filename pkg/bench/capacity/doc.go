// Package capacity measures the cost of each role of an entry at several fleet sizes,
// in time, memory or bytes, and fits a line to each cost. The measurements run the
// product's code in this process; gannetbench capacity calls Run and prints the fits.
package capacity
