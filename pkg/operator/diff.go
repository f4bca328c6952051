package operator

import (
	"fmt"
	"strings"

	lib "go.yaml.in/yaml/v3"
)

// Difference is one value that differs between two configurations.
type Difference struct {
	field  string
	before string
	after  string
}

// Field returns the path of the value. List items are identified by name, such as "models.notices.span".
func (d Difference) Field() string { return d.field }

// Before returns the old value, or an empty string if the value was added.
func (d Difference) Before() string { return d.before }

// After returns the new value, or an empty string if the value was removed.
func (d Difference) After() string { return d.after }

// String returns one line that begins with "+" for an added value, "-" for a removed value and "~" for a changed value.
func (d Difference) String() string {
	switch {
	case d.before == "":
		return fmt.Sprintf("+ %s: %s", d.field, d.after)
	case d.after == "":
		return fmt.Sprintf("- %s: %s", d.field, d.before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.field, d.before, d.after)
	}
}

// Diff returns the values that differ between two configurations, except their revisions. Added and changed values come
// first, in the order of after, followed by the removed values.
func Diff(before, after Config) []Difference {
	oldValues, newValues := flatten(before), flatten(after)
	oldByField := map[string]string{}
	for _, v := range oldValues {
		oldByField[v.field] = v.text
	}
	var differences []Difference
	for _, v := range newValues {
		if oldByField[v.field] != v.text {
			differences = append(differences, Difference{v.field, oldByField[v.field], v.text})
		}
		delete(oldByField, v.field)
	}
	for _, v := range oldValues {
		if _, removed := oldByField[v.field]; removed {
			differences = append(differences, Difference{field: v.field, before: v.text})
		}
	}
	return differences
}

// value is a scalar or a list of scalars of a configuration, with its path.
type value struct {
	field string
	text  string
}

func flatten(c Config) []value {
	if c.team == "" || c.IsEmpty() {
		return nil
	}
	var root lib.Node
	if err := lib.Unmarshal(c.WithRevision(0).YAML(), &root); err != nil {
		panic(err) // the output of YAML is always valid
	}
	return flattenNode(nil, root.Content[0], "")
}

func flattenNode(values []value, node *lib.Node, path string) []value {
	switch {
	case node.Kind == lib.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			field := strings.TrimPrefix(path+"."+node.Content[i].Value, ".")
			values = flattenNode(values, node.Content[i+1], field)
		}
	case node.Kind == lib.SequenceNode && len(node.Content) > 0 && node.Content[0].Kind == lib.MappingNode:
		for _, item := range node.Content {
			values = flattenNode(values, item, path+"."+itemName(item))
		}
	case node.Kind == lib.SequenceNode:
		values = append(values, value{path, "[" + strings.Join(scalarValues(node), ", ") + "]"})
	default:
		values = append(values, value{path, node.Value})
	}
	return values
}

// itemName returns the name of a list item, or its first value if it has no name.
func itemName(item *lib.Node) string {
	for i := 0; i+1 < len(item.Content); i += 2 {
		if item.Content[i].Value == "name" {
			return item.Content[i+1].Value
		}
	}
	return item.Content[1].Value
}

func scalarValues(list *lib.Node) []string {
	items := make([]string, 0, len(list.Content))
	for _, item := range list.Content {
		items = append(items, item.Value)
	}
	return items
}
