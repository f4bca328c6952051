package operator

import (
	"fmt"
	"strings"

	lib "go.yaml.in/yaml/v3"
)

// AnnotatedYAML returns the configuration as YAML, each value followed by a comment that explains it.
func (c Config) AnnotatedYAML(explanations []Explanation) []byte {
	var root lib.Node
	if err := lib.Unmarshal(c.YAML(), &root); err != nil {
		panic(err) // our own output always parses
	}
	comments := map[string]string{}
	for _, e := range explanations {
		comments[e.field] = fmt.Sprintf("# %s: %s", e.answer, e.reason)
	}
	comment(root.Content[0], "", comments)
	var text strings.Builder
	encoder := lib.NewEncoder(&text)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(&root); err != nil {
		panic(err) // a tree that was parsed always encodes
	}
	return []byte(text.String())
}

// comment writes the comments of all fields below node, which lies at path.
func comment(node *lib.Node, path string, comments map[string]string) {
	switch node.Kind {
	case lib.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			key, value := node.Content[i], node.Content[i+1]
			field := strings.TrimPrefix(path+"."+key.Value, ".")
			attach(key, value, comments[field])
			comment(value, field, comments)
		}
	case lib.SequenceNode:
		for i, item := range node.Content {
			comment(item, fmt.Sprintf("%s[%d]", path, i), comments)
		}
	}
}

// attach writes text behind a single value, or above a longer one.
func attach(key, value *lib.Node, text string) {
	if value.Kind == lib.ScalarNode || value.Style == lib.FlowStyle {
		value.LineComment = text
		return
	}
	key.HeadComment = text
}
