package yaml

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	lib "go.yaml.in/yaml/v3"
)

// Section is one mapping of a document; its fields are read by name, and those never asked for are mistakes.
type Section struct {
	document *Document
	path     string
	line     int
	fields   map[string]*entry
	asked    map[string]bool
}

type entry struct {
	line  int
	value *lib.Node
}

// section returns the section that node holds; anything but a mapping is a mistake.
func (d *Document) section(node *lib.Node, path string) *Section {
	s := &Section{document: d, path: path, line: node.Line}
	if node.Kind != lib.MappingNode {
		d.add(node.Line, path, "is "+describe(node)+" where fields are expected", `write lines of "name: value"`)
		return s
	}
	s.fields, s.asked = map[string]*entry{}, map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		s.enter(node.Content[i], node.Content[i+1])
	}
	d.sections = append(d.sections, s)
	return s
}

func (s *Section) enter(key, value *lib.Node) {
	if key.Kind != lib.ScalarNode {
		s.document.add(key.Line, s.path, "has a field whose name is no text", "give each field a plain name")
		return
	}
	if value.Kind == lib.AliasNode || value.Anchor != "" {
		s.document.add(key.Line, s.join(key.Value), "uses an anchor", "write the value out")
		s.asked[key.Value] = true
		return
	}
	if _, twice := s.fields[key.Value]; twice {
		s.document.add(key.Line, s.join(key.Value), "is given twice", "remove one of the two")
		return
	}
	s.fields[key.Value] = &entry{line: key.Line, value: value}
}

// Has reports whether the section has the field name with a value.
func (s *Section) Has(name string) bool { return s.find(name) != nil }

// Require records a mistake unless the field name is present; example is a value that would do.
func (s *Section) Require(name, example string) {
	if s.fields == nil || s.fields[name] != nil || s.asked[name] {
		return
	}
	s.document.add(s.line, s.join(name), "is missing", fmt.Sprintf("add %q", name+": "+example))
}

// Reject records a mistake at the field name.
func (s *Section) Reject(name, problem, remedy string) {
	line := s.line
	if found := s.fields[name]; found != nil {
		line = found.line
	}
	s.document.add(line, s.join(name), problem, remedy)
}

// Section returns the section called name, empty when it is missing.
func (s *Section) Section(name string) *Section {
	found := s.find(name)
	if found == nil {
		return &Section{document: s.document, path: s.join(name), line: s.line}
	}
	return s.document.section(found.value, s.join(name))
}

// Sections returns the list of sections called name, in the order of the document.
func (s *Section) Sections(name string) []*Section {
	items := s.items(name)
	sections := make([]*Section, 0, len(items))
	for i, item := range items {
		sections = append(sections, s.document.section(item, fmt.Sprintf("%s[%d]", s.join(name), i)))
	}
	return sections
}

// Texts returns the list of texts called name; none of them is empty.
func (s *Section) Texts(name string) []string {
	var texts []string
	for i, item := range s.items(name) {
		if item.Kind != lib.ScalarNode || item.Tag == "!!null" || item.Value == "" {
			path := fmt.Sprintf("%s[%d]", s.join(name), i)
			s.document.add(item.Line, path, "is "+describe(item)+" where text is expected", "write one text for each item")
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

// find returns the field name, and records a mistake when it is there without a value.
func (s *Section) find(name string) *entry {
	if s.fields == nil {
		return nil
	}
	s.asked[name] = true
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

func (s *Section) join(name string) string {
	if s.path == "" {
		return name
	}
	return s.path + "." + name
}

func (s *Section) rejectUnknown() {
	known := slices.Sorted(maps.Keys(s.asked))
	for _, name := range slices.Sorted(maps.Keys(s.fields)) {
		if !s.asked[name] {
			s.document.add(s.fields[name].line, s.join(name), "is not a known field", suggest(name, known))
		}
	}
}

// maxTypo is how many letters apart a field and its suggestion are at most.
const maxTypo = 2

// suggest returns the remedy for the unknown field name, given the known ones in order.
func suggest(name string, known []string) string {
	best, bestDistance := "", maxTypo+1
	for _, candidate := range known {
		if len(name) > maxTypo+len(candidate) {
			continue
		}
		if d := distance(name, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "remove it; known here: " + strings.Join(known, ", ")
}

// distance returns the number of letters to insert, remove or replace to make b of a.
func distance(a, b string) int {
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

// describe names the kind of value that node holds.
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
