package yaml

import (
	"fmt"
	"strings"
)

// Mistake is one error in a document.
type Mistake struct {
	file    string
	line    int
	field   string
	problem string
	remedy  string
}

// NewMistake returns the mistake problem of field (a path such as "models[0].span") at line of file, and its remedy.
func NewMistake(file string, line int, field, problem, remedy string) Mistake {
	return Mistake{file: file, line: line, field: field, problem: problem, remedy: remedy}
}

// File returns the name of the document.
func (m Mistake) File() string { return m.file }

// Line returns the line in the document, counted from 1, or 0 if the mistake concerns the whole document.
func (m Mistake) Line() int { return m.line }

// Field returns the path of the field, or an empty string if the mistake concerns the whole document.
func (m Mistake) Field() string { return m.field }

// Problem returns what is wrong.
func (m Mistake) Problem() string { return m.problem }

// Remedy returns how to correct the mistake.
func (m Mistake) Remedy() string { return m.remedy }

// String returns "file:line: field: problem; remedy", without the parts that are empty.
func (m Mistake) String() string {
	var text strings.Builder
	text.WriteString(m.file)
	if m.line > 0 {
		fmt.Fprintf(&text, ":%d", m.line)
	}
	if m.field != "" {
		text.WriteString(": " + m.field)
	}
	text.WriteString(": " + m.problem)
	if m.remedy != "" {
		text.WriteString("; " + m.remedy)
	}
	return text.String()
}

// Mistakes is an error that holds all mistakes of one document.
type Mistakes []Mistake

// Error returns one line for each mistake.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, mistake := range m {
		lines[i] = mistake.String()
	}
	return strings.Join(lines, "\n")
}
