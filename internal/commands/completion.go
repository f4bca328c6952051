package commands

import (
	"context"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/gravitational/trace"
)

type completionCommand struct{}

// completionScript completes the commands, the kinds of target, and file names.
const completionScript = `# source <(azurepond completion)
_azurepond() {
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s" -- "${COMP_WORDS[1]}"))
  elif [ "$COMP_CWORD" -eq 2 ] && [[ "${COMP_WORDS[1]}" =~ ^(drain|undrain|stop)$ ]]; then
    COMPREPLY=($(compgen -W "replica instance entry upstream" -- "${COMP_WORDS[2]}"))
  else
    COMPREPLY=($(compgen -f -- "${COMP_WORDS[COMP_CWORD]}"))
  fi
}
complete -F _azurepond azurepond
`

func (*completionCommand) run(_ context.Context, out io.Writer) error {
	_, err := fmt.Fprintf(out, completionScript, strings.Join(commandNames(), " "))
	return trace.Wrap(err)
}

// commandNames returns the names of all commands, in the order of the help text.
func commandNames() []string {
	var names []string
	commandLineType := reflect.TypeFor[commandLine]()
	for i := range commandLineType.NumField() {
		if name, ok := strings.CutPrefix(commandLineType.Field(i).Tag.Get("arg"), "subcommand:"); ok {
			names = append(names, name)
		}
	}
	return names
}
