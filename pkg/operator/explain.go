package operator

import (
	"fmt"
	"strings"

	lib "go.yaml.in/yaml/v3"
)

// AnnotatedYAML returns the configuration as YAML, with a comment at each value that explains it.
func (c Config) AnnotatedYAML(explanations []Explanation) []byte {
	var root lib.Node
	if err := lib.Unmarshal(c.YAML(), &root); err != nil {
		panic(err) // the output of YAML is always valid
	}
	comments := map[string]string{}
	for _, e := range explanations {
		comments[e.field] = fmt.Sprintf("# %s: %s", e.answer, e.reason)
	}
	addComments(root.Content[0], "", comments)
	var text strings.Builder
	encoder := lib.NewEncoder(&text)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(&root); err != nil {
		panic(err) // a parsed tree always encodes
	}
	return []byte(text.String())
}

// addComments adds the comments, by field path, of all fields below node, which is at path.
func addComments(node *lib.Node, path string, comments map[string]string) {
	switch node.Kind {
	case lib.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			key, value := node.Content[i], node.Content[i+1]
			field := strings.TrimPrefix(path+"."+key.Value, ".")
			setComment(key, value, comments[field])
			addComments(value, field, comments)
		}
	case lib.SequenceNode:
		for i, item := range node.Content {
			addComments(item, fmt.Sprintf("%s[%d]", path, i), comments)
		}
	}
}

// setComment places text behind a value that fits on one line, or above a longer value.
func setComment(key, value *lib.Node, text string) {
	if value.Kind == lib.ScalarNode || value.Style == lib.FlowStyle {
		value.LineComment = text
		return
	}
	key.HeadComment = text
}
