// Command plantainctl is the operators' command line of plantainrelay.
package main

import (
	"plantainrelay/internal/command"
	"plantainrelay/internal/ctl"
)

func main() {
	command.Execute(ctl.New())
}
