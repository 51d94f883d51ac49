package measure

import (
	"slices"
	"time"
)

// medianAndMax returns the median and the maximum of times, which must not be empty. It
// sorts times in place.
func medianAndMax(times []time.Duration) (median, longest time.Duration) {
	slices.Sort(times)
	return times[(len(times)-1)/2], times[len(times)-1]
}
