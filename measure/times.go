package measure

import (
	"slices"
	"time"
)

// medianAndMax returns the median and the longest of times, which it sorts.
func medianAndMax(times []time.Duration) (median, longest time.Duration) {
	slices.Sort(times)
	return times[(len(times)-1)/2], times[len(times)-1]
}
