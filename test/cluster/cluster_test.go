package cluster

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestKillReportsAProcessThatHadEnded covers a fault that is injected into a process that
// does not run: it must not count as injected.
func TestKillReportsAProcessThatHadEnded(t *testing.T) {
	c := qt.New(t)
	cluster := &Cluster{config: Config{BinDir: "/bin", Dir: t.TempDir()}, processes: map[string]*Process{}}
	running, err := cluster.startProcess("running", "sleep", "60")
	c.Assert(err, qt.IsNil)
	c.Assert(cluster.Kill("running"), qt.IsNil)
	<-running.Exited()
	ended, err := cluster.startProcess("ended", "true")
	c.Assert(err, qt.IsNil)
	<-ended.Exited()
	c.Assert(cluster.Kill("ended"), qt.ErrorMatches, "ended was not killed.*")
}
