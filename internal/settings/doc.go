// Package settings parses the YAML settings files of a daemon and of the stand-ins, which simulate the platform, engines
// and services for demonstrations and tests.
package settings
