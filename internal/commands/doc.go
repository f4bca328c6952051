// Package commands implements the command line of azurepond, with one file for each command.
package commands
