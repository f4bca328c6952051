package operator

// Verb is what a planned action does.
type Verb string

// The planned actions.
const (
	// Drain ends new work, lets what runs end, and keeps the target out of use.
	VerbDrain Verb = "drain"
	// Undrain puts a drained target back into use.
	VerbUndrain Verb = "undrain"
	// Stop drains the target and gives it up.
	VerbStop Verb = "stop"
)

// Kind is what a planned action is about.
type Kind string

// The kinds of target of a planned action.
const (
	KindReplica  Kind = "replica"
	KindInstance Kind = "instance"
	KindEntry    Kind = "entry"
	KindUpstream Kind = "upstream"
)

// Action is one planned action.
type Action struct {
	verb   Verb
	kind   Kind
	target string
}

// NewAction returns the planned action verb on the target of kind; a target is a name, or an address for Address.
func NewAction(verb Verb, kind Kind, target string) Action { return Action{verb, kind, target} }

// Verb returns what to do.
func (a Action) Verb() Verb { return a.verb }

// Kind returns what the target is.
func (a Action) Kind() Kind { return a.kind }

// Target returns the name of the target.
func (a Action) Target() string { return a.target }

// String returns "verb kind target".
func (a Action) String() string { return string(a.verb) + " " + string(a.kind) + " " + a.target }

// sameTarget reports whether both actions are about the same thing.
func (a Action) sameTarget(b Action) bool { return a.kind == b.kind && a.target == b.target }

// valid reports whether the action has a known verb, a known kind and a target.
func (a Action) valid() bool {
	switch a.verb {
	case VerbDrain, VerbUndrain, VerbStop:
	default:
		return false
	}
	switch a.kind {
	case KindReplica, KindInstance, KindEntry, KindUpstream:
	default:
		return false
	}
	return a.target != ""
}
