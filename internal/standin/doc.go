// Package standin simulates the servers that azurepond calls: the platform, model engines and plain services.
//
// Each stand-in is an http.Handler and can inject the failures of the real servers: outages, delays, responses lost
// after the request took effect, crashes, and mismatched or truncated responses. The zero values of Platform, Cluster,
// Service and Faults are ready to use.
package standin
