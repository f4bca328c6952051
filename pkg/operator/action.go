package operator

// Verb is what a planned action does.
type Verb string

// The planned actions.
const (
	// VerbDrain stops new work on the target, lets running work finish, and keeps the target out of use.
	VerbDrain Verb = "drain"
	// VerbUndrain returns a drained target to use.
	VerbUndrain Verb = "undrain"
	// VerbStop drains the target and then releases it.
	VerbStop Verb = "stop"
)

// Kind is the kind of target of a planned action.
type Kind string

// The kinds of targets.
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

// NewAction returns the planned action verb on the target of kind. The target is an address for KindUpstream and a name
// for all other kinds.
func NewAction(verb Verb, kind Kind, target string) Action { return Action{verb, kind, target} }

// Verb returns what the action does.
func (a Action) Verb() Verb { return a.verb }

// Kind returns the kind of the target.
func (a Action) Kind() Kind { return a.kind }

// Target returns the name or the address of the target.
func (a Action) Target() string { return a.target }

// String returns "verb kind target".
func (a Action) String() string { return string(a.verb) + " " + string(a.kind) + " " + a.target }

// sameTarget reports whether both actions have the same target.
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
