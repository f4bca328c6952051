// Package platform is a client of the platform's object API and instance list, which have the format of a Kubernetes
// API server.
package platform
