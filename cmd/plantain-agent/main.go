// Command plantain-agent is the agent daemon of plantainrelay.
package main

import (
	"plantainrelay/internal/agent"
	"plantainrelay/internal/command"
)

func main() {
	command.Execute(command.Daemon("plantain-agent", "Run the agent daemon of plantainrelay", agent.LoadSettings, agent.Run))
}
