// Command plantain-agent is the agent daemon of plantainrelay.
package main

import (
	"plantainrelay/internal/agent"
	"plantainrelay/internal/command"
	"plantainrelay/internal/loader"
)

func main() {
	root := command.DaemonCommand("plantain-agent", "Run the agent daemon of plantainrelay", agent.LoadSettings, agent.Run)
	root.AddCommand(command.PlatformCommand("Run the agent daemon on the users' platform", loader.Run))
	command.Execute(root)
}
