package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/integrii/flaggy"

	"pistachioford.example/pistachioford/operate"
)

// maxArguments bounds the files of one command.
const maxArguments = 256

// command is one subcommand: define adds its flags and arguments, run executes
// it and returns the result to print.
type command struct {
	name        string
	description string
	define      func(f *flaggy.Subcommand, o *options)
	run         func(ctx context.Context, o *options) (any, error)
	subcommand  *flaggy.Subcommand
}

func newCommands() []*command {
	return []*command{
		{name: "check", description: "Validate files as one document; changes nothing.", define: defineFiles, run: check},
		{name: "diff", description: "Show what applying files would change.", define: definePlatformFiles, run: diff},
		{name: "accounts", description: "List the client accounts of a document, or compare those of two: accounts FILE [NEWER].", define: defineAccounts, run: accounts},
		{name: "apply", description: "Make a file the active text of its section.", define: defineApply, run: apply},
		{name: "show", description: "Print a section, or list the sections.", define: defineShow, run: show},
		{name: "history", description: "List the newest revisions.", define: defineHistory, run: history},
		{name: "status", description: "Ask the instances which revision each has active.", define: defineStatus, run: status},
		{name: "blocks", description: "Upload client blocks and make them active.", define: defineBlocks, run: uploadBlocks},
		{name: "drain", description: "Stop sending new work to a target.", define: defineDrain, run: drain(true)},
		{name: "explain", description: "Print the log lines and the outcome of a request: explain ID FILE...", define: defineExplain, run: explain},
		{name: "model", description: "Simulate a load in virtual time and compare it with random placement.", define: defineModel, run: runModel},
		{name: "undrain", description: "Send work to a drained target again.", define: defineDrain, run: drain(false)},
	}
}

// addFileArguments adds the arguments FILE... to a subcommand. flaggy has no
// repeated arguments, so each has its own position.
func addFileArguments(f *flaggy.Subcommand, o *options) {
	f.AddPositionalValue(&o.args[0], "FILE...", 1, true, "TOML files, one section each.")
	for i := 1; i < maxArguments; i++ {
		f.AddPositionalValue(&o.args[i], "FILE"+strconv.Itoa(i+1), i+1, false, "")
		f.PositionalFlags[i].Hidden = true
	}
}

func addPlatformFlag(f *flaggy.Subcommand, o *options) {
	f.String(&o.platform, "p", "platform", "URL of the platform.")
}

func addChangeFlags(f *flaggy.Subcommand, o *options) {
	addPlatformFlag(f, o)
	f.String(&o.tokenFile, "t", "token-file", "File with the team's token.")
	f.String(&o.operation, "o", "operation", "Id of an earlier run whose outcome is unknown.")
}

func defineFiles(f *flaggy.Subcommand, o *options) { addFileArguments(f, o) }

func definePlatformFiles(f *flaggy.Subcommand, o *options) {
	addFileArguments(f, o)
	addPlatformFlag(f, o)
}

func defineApply(f *flaggy.Subcommand, o *options) {
	addFileArguments(f, o)
	addChangeFlags(f, o)
	f.String(&o.base, "b", "base", "Version that the edit started from, if the file does not state it.")
}

func defineShow(f *flaggy.Subcommand, o *options) {
	f.AddPositionalValue(&o.args[0], "SECTION", 1, false, "Section to print.")
	addPlatformFlag(f, o)
	f.UInt64(&o.version, "s", "section-version", "Version to print; the active one by default.")
}

func defineHistory(f *flaggy.Subcommand, o *options) {
	o.limit = 20
	addPlatformFlag(f, o)
	f.Int(&o.limit, "n", "limit", "Number of revisions.")
}

func defineStatus(f *flaggy.Subcommand, o *options) {
	addPlatformFlag(f, o)
	f.StringSlice(&o.instances, "i", "instances", "Operators' ports to ask instead of the platform's list.")
}

func defineDrain(f *flaggy.Subcommand, o *options) {
	f.AddPositionalValue(&o.args[0], "TARGET", 1, true, "Name of the target.")
	addChangeFlags(f, o)
}

func defineExplain(f *flaggy.Subcommand, o *options) {
	f.AddPositionalValue(&o.args[0], "ID", 1, true, "Id of the request.")
	f.AddPositionalValue(&o.args[1], "FILE...", 2, true, "Log files of instances.")
	for i := 2; i < maxArguments; i++ {
		f.AddPositionalValue(&o.args[i], "FILE"+strconv.Itoa(i), i+1, false, "")
		f.PositionalFlags[i].Hidden = true
	}
}

func explain(_ context.Context, o *options) (any, error) {
	arguments := o.givenArguments()
	return operate.Explain(arguments[0], arguments[1:])
}

func defineAccounts(f *flaggy.Subcommand, o *options) {
	f.AddPositionalValue(&o.args[0], "FILE", 1, true, "JSON file with a document in the platform's format.")
	f.AddPositionalValue(&o.args[1], "NEWER", 2, false, "JSON file with a newer version of it.")
	f.StringSlice(&o.regions, "r", "regions", "Region that has zones, once for each; accounts must not name others.")
}

func accounts(_ context.Context, o *options) (any, error) {
	if o.args[1] == "" {
		return operate.Accounts(o.args[0], o.regions)
	}
	return operate.CompareAccounts(o.args[0], o.args[1], o.regions)
}

func defineModel(f *flaggy.Subcommand, o *options) {
	o.seed, o.runs = 1, 1
	f.AddPositionalValue(&o.args[0], "FILE", 1, true, "TOML file with zones, services, work and events.")
	f.UInt64(&o.seed, "s", "seed", "Seed of the first run; a seed always gives the same run.")
	f.Int(&o.runs, "r", "runs", "Number of runs with consecutive seeds, whose results are added up.")
}

func runModel(ctx context.Context, o *options) (any, error) {
	return operate.Model(ctx, operate.ModelRequest{File: o.args[0], Seed: o.seed, Runs: o.runs})
}

func defineBlocks(f *flaggy.Subcommand, o *options) {
	f.AddPositionalValue(&o.args[0], "CSV", 1, true, "File with lines prefix,site.")
	addChangeFlags(f, o)
}

func check(_ context.Context, o *options) (any, error) {
	files, err := operate.ReadDocumentFiles(o.givenArguments())
	if err != nil {
		return nil, err
	}
	return operate.Check(files)
}

func diff(ctx context.Context, o *options) (any, error) {
	files, err := operate.ReadSectionFiles(o.givenArguments())
	if err != nil {
		return nil, err
	}
	operator, err := o.operator()
	if err != nil {
		return nil, err
	}
	return operator.Diff(ctx, files)
}

func apply(ctx context.Context, o *options) (any, error) {
	files, err := operate.ReadSectionFiles(o.givenArguments())
	if err != nil {
		return nil, err
	}
	operator, token, err := o.operatorWithToken()
	if err != nil {
		return nil, err
	}
	request := operate.ApplyRequest{Files: files, Token: token, Operation: o.operation}
	if o.base != "" {
		request.HasBase = true
		if request.Base, err = strconv.ParseUint(o.base, 10, 64); err != nil {
			return nil, &operate.RefusedError{Reason: fmt.Sprintf("--base %q is not a version number", o.base)}
		}
	}
	changed, err := operator.Apply(ctx, request)
	if err != nil {
		return nil, err
	}
	return changed, updateMarkers(files, changed)
}

// updateMarkers writes the new versions into the version markers of the files.
func updateMarkers(files []operate.File, changed *operate.ChangeResult) error {
	for _, s := range changed.Sections {
		for i := range files {
			if files[i].Name != s.Name {
				continue
			}
			if err := files[i].UpdateMarker(s.Version); err != nil {
				return fmt.Errorf("applied as revision %d, but the version in the file could not be updated: %w", changed.Revision, err)
			}
		}
	}
	return nil
}

func show(ctx context.Context, o *options) (any, error) {
	operator, err := o.operator()
	if err != nil {
		return nil, err
	}
	if o.args[0] == "" {
		return operator.Overview(ctx)
	}
	return operator.Show(ctx, o.args[0], o.version)
}

func history(ctx context.Context, o *options) (any, error) {
	operator, err := o.operator()
	if err != nil {
		return nil, err
	}
	return operator.History(ctx, o.limit)
}

func status(ctx context.Context, o *options) (any, error) {
	operator, err := o.operator()
	if err != nil {
		return nil, err
	}
	return operator.Status(ctx, o.instances)
}

// drain returns the function that runs drain if draining is set, otherwise
// undrain.
func drain(draining bool) func(context.Context, *options) (any, error) {
	return func(ctx context.Context, o *options) (any, error) {
		operator, token, err := o.operatorWithToken()
		if err != nil {
			return nil, err
		}
		return operator.Drain(ctx, operate.DrainRequest{
			Target: o.args[0], Draining: draining, Token: token, Operation: o.operation,
		})
	}
}

func uploadBlocks(ctx context.Context, o *options) (any, error) {
	operator, token, err := o.operatorWithToken()
	if err != nil {
		return nil, err
	}
	return operator.Upload(ctx, operate.UploadRequest{File: o.args[0], Token: token, Operation: o.operation})
}
