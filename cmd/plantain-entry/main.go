// Command plantain-entry is the entry daemon of plantainrelay.
package main

import (
	"plantainrelay/internal/command"
	"plantainrelay/internal/entry"
)

func main() {
	command.Execute(command.Daemon("plantain-entry", "Run the entry daemon of plantainrelay", entry.LoadSettings, entry.Run))
}
