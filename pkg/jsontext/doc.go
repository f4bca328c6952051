// Package jsontext splits JSON arrays and objects without parsing their values, so that a value which can't be parsed does not hide the others.
package jsontext
