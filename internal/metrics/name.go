package metrics

import (
	"sort"
	"strings"
)

// Label is the name and the value of one label of a metric.
type Label struct {
	name  string
	value string
}

// NewLabel returns the label with a name (lower case) and a value.
func NewLabel(name, value string) Label { return Label{name, value} }

// Name returns the name of the label.
func (l Label) Name() string { return l.name }

// Value returns the value of the label.
func (l Label) Value() string { return l.value }

// labelEscaper escapes label values for the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// labelUnescaper reverses labelEscaper.
var labelUnescaper = strings.NewReplacer(`\\`, `\`, `\"`, `"`, `\n`, "\n")

// RegistryName returns the name of a metric with labels in a registry: base{label="value",...}.
func RegistryName(base string, labels ...Label) string {
	if len(labels) == 0 {
		return base
	}
	sorted := append([]Label(nil), labels...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].name < sorted[j].name })
	parts := make([]string, len(sorted))
	for i, l := range sorted {
		parts[i] = l.name + `="` + labelEscaper.Replace(l.value) + `"`
	}
	return base + "{" + strings.Join(parts, ",") + "}"
}

// splitLabels splits a registry name into its base and its encoded labels.
func splitLabels(name string) (base, labels string) {
	base, labels, _ = strings.Cut(name, "{")
	return base, strings.TrimSuffix(labels, "}")
}

// ParseLabels returns the labels in a name that RegistryName returned.
func ParseLabels(name string) []Label {
	_, text := splitLabels(name)
	var labels []Label
	for text != "" {
		label, rest, ok := parseLabel(text)
		if !ok {
			return labels
		}
		labels = append(labels, label)
		text = strings.TrimPrefix(rest, ",")
	}
	return labels
}

// parseLabel returns the first label of text and the rest of text.
func parseLabel(text string) (label Label, rest string, ok bool) {
	name, quoted, ok := strings.Cut(text, `="`)
	if !ok {
		return Label{}, "", false
	}
	for i := 0; i < len(quoted); i++ {
		switch quoted[i] {
		case '\\':
			i++
		case '"':
			return Label{name, labelUnescaper.Replace(quoted[:i])}, quoted[i+1:], true
		}
	}
	return Label{}, "", false
}
