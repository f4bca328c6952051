package yaml

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	lib "go.yaml.in/yaml/v3"
)

// Section is one mapping of a document. Fields are read by name. A field with an invalid value is recorded as a mistake
// and read as if it were missing. Fields that are never read are mistakes as well.
type Section struct {
	document *Document
	path     string
	line     int
	fields   map[string]*field
	accessed map[string]bool
}

type field struct {
	line  int
	value *lib.Node
}

// section returns the section for node. A node that is no mapping is a mistake.
func (d *Document) section(node *lib.Node, path string) *Section {
	s := &Section{document: d, path: path, line: node.Line}
	if node.Kind != lib.MappingNode {
		d.addMistake(node.Line, path, "is "+describe(node)+" where fields are expected", `write lines of "name: value"`)
		return s
	}
	s.fields, s.accessed = map[string]*field{}, map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		s.addField(node.Content[i], node.Content[i+1])
	}
	d.sections = append(d.sections, s)
	return s
}

func (s *Section) addField(key, value *lib.Node) {
	if key.Kind != lib.ScalarNode {
		s.document.addMistake(key.Line, s.path, "has a field whose name is no text", "give each field a plain name")
		return
	}
	if value.Kind == lib.AliasNode || value.Anchor != "" {
		s.document.addMistake(key.Line, s.fieldPath(key.Value), "uses an anchor", "write the value out")
		s.accessed[key.Value] = true
		return
	}
	if _, duplicate := s.fields[key.Value]; duplicate {
		s.document.addMistake(key.Line, s.fieldPath(key.Value), "is given twice", "remove one of the two")
		return
	}
	s.fields[key.Value] = &field{line: key.Line, value: value}
}

// Has reports whether the field name is present with a value.
func (s *Section) Has(name string) bool { return s.find(name) != nil }

// Require records a mistake unless the field name is present. Its remedy shows the value example.
func (s *Section) Require(name, example string) {
	if s.fields == nil || s.fields[name] != nil || s.accessed[name] {
		return
	}
	s.document.addMistake(s.line, s.fieldPath(name), "is missing", fmt.Sprintf("add %q", name+": "+example))
}

// Reject records a mistake at the field name.
func (s *Section) Reject(name, problem, remedy string) {
	line := s.line
	if found := s.fields[name]; found != nil {
		line = found.line
	}
	s.document.addMistake(line, s.fieldPath(name), problem, remedy)
}

// Section returns the section of the field name, or an empty section if it is missing.
func (s *Section) Section(name string) *Section {
	found := s.find(name)
	if found == nil {
		return &Section{document: s.document, path: s.fieldPath(name), line: s.line}
	}
	return s.document.section(found.value, s.fieldPath(name))
}

// Sections returns the list of sections of the field name, in the order of the document.
func (s *Section) Sections(name string) []*Section {
	items := s.items(name)
	sections := make([]*Section, 0, len(items))
	for i, item := range items {
		sections = append(sections, s.document.section(item, fmt.Sprintf("%s[%d]", s.fieldPath(name), i)))
	}
	return sections
}

// Texts returns the list of non-empty texts of the field name.
func (s *Section) Texts(name string) []string {
	var texts []string
	for i, item := range s.items(name) {
		if item.Kind != lib.ScalarNode || item.Tag == "!!null" || item.Value == "" {
			path := fmt.Sprintf("%s[%d]", s.fieldPath(name), i)
			s.document.addMistake(item.Line, path, "is "+describe(item)+" where text is expected",
				"write one text for each item")
			continue
		}
		texts = append(texts, item.Value)
	}
	return texts
}

func (s *Section) items(name string) []*lib.Node {
	found := s.find(name)
	if found == nil {
		return nil
	}
	if found.value.Kind != lib.SequenceNode {
		s.Reject(name, "is "+describe(found.value)+" where a list is expected", `write one "- item" for each line`)
		return nil
	}
	for _, item := range found.value.Content {
		if item.Kind == lib.AliasNode || item.Anchor != "" {
			s.Reject(name, "uses an anchor", "write the value out")
			return nil
		}
	}
	return found.value.Content
}

// find returns the field name, or nil if it is missing. It records a mistake if the field has no value.
func (s *Section) find(name string) *field {
	if s.fields == nil {
		return nil
	}
	s.accessed[name] = true
	found := s.fields[name]
	if found == nil {
		return nil
	}
	if found.value.Tag == "!!null" {
		s.Reject(name, "has no value", "give it one, or remove the line")
		return nil
	}
	return found
}

func (s *Section) fieldPath(name string) string {
	if s.path == "" {
		return name
	}
	return s.path + "." + name
}

func (s *Section) rejectUnknown() {
	known := slices.Sorted(maps.Keys(s.accessed))
	for _, name := range slices.Sorted(maps.Keys(s.fields)) {
		if !s.accessed[name] {
			s.document.addMistake(s.fields[name].line, s.fieldPath(name), "is not a known field", suggest(name, known))
		}
	}
}

// maxSuggestionDistance is the maximum edit distance between an unknown field and its suggestion.
const maxSuggestionDistance = 2

// suggest returns the remedy for the unknown field name, given the sorted known names.
func suggest(name string, known []string) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for _, candidate := range known {
		if len(name) > maxSuggestionDistance+len(candidate) {
			continue
		}
		if d := editDistance(name, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "remove it; known here: " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance between a and b, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}

// describe returns the kind of value in node for a mistake, or the quoted value of a scalar.
func describe(node *lib.Node) string {
	switch {
	case node.Kind == lib.MappingNode:
		return "a group of fields"
	case node.Kind == lib.SequenceNode:
		return "a list"
	case node.Kind == lib.AliasNode:
		return "an anchor"
	case node.Tag == "!!null" || node.Value == "":
		return "empty"
	default:
		return fmt.Sprintf("%q", node.Value)
	}
}
