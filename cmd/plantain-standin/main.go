// Command plantain-standin runs fake servers for development and tests: the
// platform, a model engine or a plain service.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"plantainrelay/test/standin"
)

const readHeaderTimeout = 10 * time.Second

type fakeServer interface {
	Register(mux *http.ServeMux)
}

func main() {
	root := &cobra.Command{
		Use:          "plantain-standin",
		Short:        "Fake servers for development and tests; not for production",
		SilenceUsage: true,
	}
	root.AddCommand(
		command("platform", "object API, origin of weights and list of instances", func() []fakeServer {
			return []fakeServer{standin.NewStore(), standin.NewOrigin(), standin.NewList()}
		}),
		command("engine", "a model engine", func() []fakeServer { return []fakeServer{standin.NewEngine()} }),
		command("service", "a plain service", func() []fakeServer { return []fakeServer{standin.NewService()} }),
	)
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func command(name, short string, newServers func() []fakeServer) *cobra.Command {
	var listen, records string
	cmd := &cobra.Command{
		Use:     name,
		Short:   "Run " + short,
		Example: "  plantain-standin " + name + " --listen 127.0.0.1:9000",
		RunE: func(*cobra.Command, []string) error {
			mux := http.NewServeMux()
			for _, fake := range newServers() {
				if err := recordTo(fake, records); err != nil {
					return err
				}
				fake.Register(mux)
			}
			server := &http.Server{Addr: listen, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
			return server.ListenAndServe()
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "address to listen on")
	cmd.Flags().StringVar(&records, "records", "", "file to which each execution is appended as a line of JSON")
	return cmd
}

// recordTo makes a fake engine append its records to the file at path. It
// ignores other fake servers and an empty path.
func recordTo(fake fakeServer, path string) error {
	engine, ok := fake.(*standin.Engine)
	if !ok || path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	engine.RecordTo(file)
	return nil
}
