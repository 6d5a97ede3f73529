// Package ratelimit holds the limits that targets state for all entries together: how many requests
// a second a target takes, whichever entry sends them.
package ratelimit

// Rate is a number of requests per second.
type Rate float64

// MaxRate is the highest rate that counts. It is beyond what any target takes.
const MaxRate Rate = 1e6
