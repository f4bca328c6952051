// Package engine routes calls to the replicas of model engines. It decides which replica runs a call, when a call is
// retried or resumed, and which calls crash engines. It does no I/O: a driver copies the token streams and reports
// their progress.
package engine
