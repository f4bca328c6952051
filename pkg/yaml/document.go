package yaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"

	lib "go.yaml.in/yaml/v3"
)

// MaxDocumentBytes is the maximum size of a document, in bytes.
const MaxDocumentBytes = 1 << 20

// maxMistakes is the maximum number of mistakes reported for one document.
const maxMistakes = 50

// Document is one YAML document that is being read.
type Document struct {
	file     string
	mistakes []Mistake
	sections []*Section
}

// Parse reads the document called file and returns its root section. The root section of an invalid document is empty.
func Parse(file string, data []byte) (*Document, *Section) {
	d := &Document{file: file}
	node := d.decode(data)
	if node == nil {
		return d, &Section{document: d}
	}
	return d, d.section(node, "")
}

// Err records a mistake for each unknown field and returns all recorded mistakes as Mistakes, sorted by line, or nil if
// there are none.
func (d *Document) Err() error {
	for _, s := range d.sections {
		s.rejectUnknown()
	}
	d.sections = nil
	if len(d.mistakes) == 0 {
		return nil
	}
	sort.SliceStable(d.mistakes, func(i, j int) bool { return d.mistakes[i].line < d.mistakes[j].line })
	return Mistakes(d.mistakes)
}

// addMistake records a mistake unless the same field of the same line has one already or maxMistakes is reached.
func (d *Document) addMistake(line int, field, problem, remedy string) {
	if len(d.mistakes) == maxMistakes {
		return
	}
	for _, known := range d.mistakes {
		if known.line == line && known.field == field {
			return
		}
	}
	d.mistakes = append(d.mistakes, NewMistake(d.file, line, field, problem, remedy))
}

func (d *Document) decode(data []byte) *lib.Node {
	if len(data) > MaxDocumentBytes {
		d.addMistake(0, "", fmt.Sprintf("is larger than %d bytes", MaxDocumentBytes), "split it by team")
		return nil
	}
	decoder := lib.NewDecoder(bytes.NewReader(data))
	var root lib.Node
	err := decoder.Decode(&root)
	if errors.Is(err, io.EOF) || (err == nil && len(root.Content) == 0) {
		d.addMistake(0, "", "is empty", "write at least the required fields")
		return nil
	}
	if err != nil {
		d.addSyntaxError(err)
		return nil
	}
	var second lib.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		d.addMistake(second.Line, "", "holds more than one document", `keep the part before "---" only`)
		return nil
	}
	return root.Content[0]
}

// addSyntaxError records an error of the YAML library, whose text usually begins with "yaml: line N:".
func (d *Document) addSyntaxError(err error) {
	problem := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 0
	if _, scanErr := fmt.Sscanf(problem, "line %d:", &line); scanErr == nil {
		_, problem, _ = strings.Cut(problem, ": ")
	}
	d.addMistake(line, "", "is not YAML: "+problem, "check indentation, quotes and brackets near this line")
}
