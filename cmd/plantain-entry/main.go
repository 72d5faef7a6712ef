// Command plantain-entry is the entry daemon of plantainrelay.
package main

import (
	"plantainrelay/internal/command"
	"plantainrelay/internal/entry"
	"plantainrelay/internal/relay"
)

func main() {
	root := command.DaemonCommand("plantain-entry", "Run the entry daemon of plantainrelay", entry.LoadSettings, entry.Run)
	root.AddCommand(command.PlatformCommand("Run the entry daemon on the users' platform", relay.Run))
	command.Execute(root)
}
