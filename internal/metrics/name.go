package metrics

import (
	"sort"
	"strings"
)

// Label is one dimension of a metric.
type Label struct {
	name  string
	value string
}

// NewLabel returns the label name (lower case) with value.
func NewLabel(name, value string) Label { return Label{name, value} }

// Name returns the name of the dimension.
func (l Label) Name() string { return l.name }

// Value returns the value of the dimension.
func (l Label) Value() string { return l.value }

// escaper escapes label values as the text form wants them.
var escaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// unescaper undoes escaper.
var unescaper = strings.NewReplacer(`\\`, `\`, `\"`, `"`, `\n`, "\n")

// RegistryName returns the name under which a metric with labels stands in a registry: base{label="value",...}.
func RegistryName(base string, labels ...Label) string {
	if len(labels) == 0 {
		return base
	}
	sorted := append([]Label(nil), labels...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].name < sorted[j].name })
	parts := make([]string, len(sorted))
	for i, l := range sorted {
		parts[i] = l.name + `="` + escaper.Replace(l.value) + `"`
	}
	return base + "{" + strings.Join(parts, ",") + "}"
}

// split returns the base of a registered name and its labels as they are written.
func split(name string) (base, labels string) {
	base, labels, _ = strings.Cut(name, "{")
	return base, strings.TrimSuffix(labels, "}")
}

// ParseLabels returns the labels of a name that Name made.
func ParseLabels(name string) []Label {
	_, text := split(name)
	var labels []Label
	for text != "" {
		label, rest, ok := cutLabel(text)
		if !ok {
			return labels
		}
		labels = append(labels, label)
		text = strings.TrimPrefix(rest, ",")
	}
	return labels
}

// cutLabel returns the first label of text and what follows it.
func cutLabel(text string) (label Label, rest string, ok bool) {
	name, quoted, ok := strings.Cut(text, `="`)
	if !ok {
		return Label{}, "", false
	}
	for i := 0; i < len(quoted); i++ {
		switch quoted[i] {
		case '\\':
			i++
		case '"':
			return Label{name, unescaper.Replace(quoted[:i])}, quoted[i+1:], true
		}
	}
	return Label{}, "", false
}
