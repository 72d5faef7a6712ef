package ctl

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/message"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
)

// storeTimeout bounds the calls of one command to the platform's store.
const storeTimeout = 10 * time.Second

// storedBlock is the record of a part of prompts in the store.
type storedBlock struct {
	blocklist.Record
	revision replica.Revision
}

// blocksOptions are the flags of the commands about blocked parts.
type blocksOptions struct {
	*options
	store, model string
}

func (o *blocksOptions) client() (*platform.StoreClient, error) {
	if o.store == "" {
		return nil, failure.New(failure.Invalid, "pass --store IP:PORT; Platform.Address in the settings file of any process names it", "the address of the platform's store is missing")
	}
	return platform.NewStoreClient(o.store, message.NewTransport(&net.Dialer{Timeout: storeTimeout})), nil
}

func blocksCommand(shared *options) *cobra.Command {
	o := &blocksOptions{options: shared}
	parent := &cobra.Command{Use: "blocks", Short: "Show and change which parts of prompts are kept away from instances"}
	parent.PersistentFlags().StringVar(&o.store, "store", "", "address of the platform's store, IP:PORT")
	parent.PersistentFlags().StringVar(&o.model, "model", "", "model that the part belongs to; needed where several models have it, and to add one")
	parent.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the parts that are blocked, and those whose block was lifted",
			Example: "  plantainctl blocks list --store 10.200.1.7:8007", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return o.list(cmd) },
		},
		&cobra.Command{
			Use: "lift PART", Short: "Lift the block of a part: requests with it reach instances again",
			Example: "  plantainctl blocks lift 5c1e07a2 --store 10.200.1.7:8007", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error { return o.change(cmd, args[0], true) },
		},
		&cobra.Command{
			Use: "add PART", Short: "Block a part: requests with it are refused",
			Example: "  plantainctl blocks add 5c1e07a2 --model daka510000 --store 10.200.1.7:8007", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error { return o.change(cmd, args[0], false) },
		},
	)
	return parent
}

// read returns the records in the store, sorted by model and part.
func (o *blocksOptions) read(ctx context.Context, client *platform.StoreClient) ([]storedBlock, error) {
	change, err := client.List(ctx, platform.Blocks)
	if err != nil {
		return nil, err
	}
	blocks := make([]storedBlock, 0, len(change.Documents))
	for _, document := range change.Documents {
		record, err := platform.DecodeBlock(document)
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, storedBlock{Record: record, revision: document.Revision})
	}
	slices.SortFunc(blocks, func(a, b storedBlock) int { return strings.Compare(a.Model+"/"+a.ID, b.Model+"/"+b.ID) })
	return blocks, nil
}

func (o *blocksOptions) list(cmd *cobra.Command) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), storeTimeout)
	defer cancel()
	blocks, err := o.read(ctx, client)
	if err != nil {
		return err
	}
	if o.output == "json" {
		records := make([]blocklist.Record, 0, len(blocks))
		for _, block := range blocks {
			records = append(records, block.Record)
		}
		return printJSON(cmd.OutOrStdout(), records)
	}
	out := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "MODEL\tPART\tSTATE\tCRASHES\tTRIALS\tVERSION")
	for _, block := range blocks {
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d\t%d\n", block.Model, block.ID, blockState(block.Record), block.Crashes, block.Trials, block.Version)
	}
	return out.Flush()
}

func blockState(record blocklist.Record) string {
	switch {
	case record.Lifted:
		return "lifted"
	case record.Suspected:
		return "suspected"
	}
	return "blocked"
}

// change lifts or sets the block of a part. It fails with failure.Conflict if somebody else
// changes the record at the same time.
func (o *blocksOptions) change(cmd *cobra.Command, part string, lift bool) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), storeTimeout)
	defer cancel()
	blocks, err := o.read(ctx, client)
	if err != nil {
		return err
	}
	block, err := o.find(blocks, strings.ToLower(part), lift)
	if err != nil {
		return err
	}
	if block.Version == 0 || block.Lifted != lift || block.Suspected {
		block.Version, block.Lifted, block.Suspected = block.Version+1, lift, false
		if err := client.SaveBlock(ctx, block.Record, block.revision); err != nil {
			return err
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "part %s of model %s is %s (version %d)\n", block.ID, block.Model, blockState(block.Record), block.Version)
	return nil
}

// find returns the record of a part, or a new one if the part is to be blocked.
func (o *blocksOptions) find(blocks []storedBlock, part string, lift bool) (storedBlock, error) {
	found := slices.DeleteFunc(blocks, func(block storedBlock) bool { return block.ID != part || o.model != "" && block.Model != o.model })
	switch {
	case len(found) == 1:
		return found[0], nil
	case len(found) > 1:
		return storedBlock{}, failure.New(failure.Invalid, "pass --model", "several models have a record of the part %s", part)
	case lift:
		return storedBlock{}, failure.New(failure.NotFound, "see plantainctl blocks list", "the store has no record of the part %s", part)
	case o.model == "":
		return storedBlock{}, failure.New(failure.Invalid, "pass --model", "it is not known which model the part %s belongs to", part)
	}
	return storedBlock{Record: blocklist.Record{Part: blocklist.Part{Model: o.model, ID: part}}}, nil
}
