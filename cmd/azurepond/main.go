// Command azurepond serves language models that span several instances.
package main

import (
	"os"

	"github.com/azurepond/azurepond/internal/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
