// Package yaml reads YAML documents and collects each mistake with its file, line, field and remedy.
package yaml
