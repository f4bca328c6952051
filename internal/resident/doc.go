// Package resident measures the resident memory of daemons that run as real processes, while upstreams or callers behave such that they
// would have a daemon keep any number of bytes.
package resident
