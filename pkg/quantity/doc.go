// Package quantity converts numbers from outside into counts and durations that later sums and products cannot overflow. The results are the
// same on all processors, which convert floating-point numbers beyond the range of an integer differently.
package quantity
