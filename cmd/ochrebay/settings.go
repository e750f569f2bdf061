package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/goccy/go-yaml"

	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
	"github.com/ochrebay/ochrebay/internal/workload"
)

const historyPollInterval = 300 * time.Millisecond

// changeFlags identify a change of settings and define how long to wait for it.
type changeFlags struct {
	operatorFlags
	operator *string
	number   *uint64
	version  *string
	wait     *bool
	timeout  *time.Duration
}

func registerChangeFlags(command *kingpin.CmdClause) changeFlags {
	return changeFlags{
		operatorFlags: registerOperatorFlags(command),
		operator:      command.Flag("operator", "Name of the operator who makes the change.").Default("operator").Envar("USER").String(),
		number:        command.Flag("number", "Number of the change, chosen by the operator; a number is applied at most once. The default is the current time.").Uint64(),
		version:       command.Flag("version", "Expected version of the node; the default is the current version, and \"any\" skips the check.").String(),
		wait:          command.Flag("wait", "Wait until all live daemons report that the change is in force.").Bool(),
		timeout:       command.Flag("timeout", "Maximum time to wait.").Default("10s").Duration(),
	}
}

func registerSettings(app *kingpin.Application, registered commands) {
	command := app.Command("settings", "Read and change the settings tree.")

	get := command.Command("get", "Show a node with its own and its inherited fields.\n\nExample: ochrebay settings get /services/triage --data run")
	getFlags := registerOperatorFlags(get)
	getPath := get.Arg("path", "Path of the node.").Default("/").String()
	registered[get.FullCommand()] = withoutContext(func() error { return settingsGet(getFlags, *getPath) })

	set := command.Command("set", "Set fields of a node; FIELD= removes a field.\n\nExample: ochrebay settings set /pools/agents version=2 --wait --data run")
	setFlags := registerChangeFlags(set)
	setPath := set.Arg("path", "Path of the node.").Required().String()
	setFields := set.Arg("field=value", "Fields to set.").Required().Strings()
	registered[set.FullCommand()] = func(ctx context.Context) error {
		return settingsSet(ctx, setFlags, *setPath, *setFields, false)
	}

	validate := command.Command("validate", "Validate a change without applying it.\n\nExample: ochrebay settings validate /services/triage rank=12 --data run")
	validateFlags := registerChangeFlags(validate)
	validatePath := validate.Arg("path", "Path of the node.").Required().String()
	validateFields := validate.Arg("field=value", "Fields to set.").Required().Strings()
	registered[validate.FullCommand()] = func(ctx context.Context) error {
		return settingsSet(ctx, validateFlags, *validatePath, *validateFields, true)
	}

	remove := command.Command("delete", "Delete a node.\n\nExample: ochrebay settings delete /services/old --data run")
	removeFlags := registerChangeFlags(remove)
	removePath := remove.Arg("path", "Path of the node.").Required().String()
	registered[remove.FullCommand()] = func(ctx context.Context) error { return settingsDelete(ctx, removeFlags, *removePath) }

	importCommand := command.Command("import", "Set every node of a YAML file (path: fields) in one change.\n\nExample: ochrebay settings import etc/settings.yaml --wait --data run")
	importFlags := registerChangeFlags(importCommand)
	importFile := importCommand.Arg("file", "YAML file.").Required().String()
	registered[importCommand.FullCommand()] = func(ctx context.Context) error { return settingsImport(ctx, importFlags, *importFile) }

	history := command.Command("history", "List accepted changes, newest last.\n\nExample: ochrebay settings history /services/triage --data run")
	historyFlags := registerOperatorFlags(history)
	historyPath := history.Arg("path", "Path of the node; by default all nodes.").Default("/").String()
	registered[history.FullCommand()] = withoutContext(func() error { return settingsHistory(historyFlags, *historyPath) })

	watch := command.Command("watch", "Print changes as they are accepted, until interrupted.\n\nExample: ochrebay settings watch / --data run")
	watchFlags := registerOperatorFlags(watch)
	watchPath := watch.Arg("path", "Path of the node; by default all nodes.").Default("/").String()
	registered[watch.FullCommand()] = func(ctx context.Context) error { return settingsWatch(ctx, watchFlags, *watchPath) }
}

func settingsGet(flags operatorFlags, path string) error {
	return callAndPrint(flags, "GET", "/v1/settings?path="+url.QueryEscape(path), nil, func(table *tabwriter.Writer, view control.SettingsView) {
		printRow(table, "path", view.Path)
		printRow(table, "revision", view.Revision)
		printRow(table, "version", view.Version)
		printRow(table, "operator", view.Operator)
		own := fieldMap(view.Own)
		for _, name := range fieldNames(view.Effective) {
			from := "inherited"
			if _, ok := own[name]; ok {
				from = "set here"
			}
			printRow(table, "  "+name, fieldMap(view.Effective)[name], from)
		}
		for _, child := range view.Children {
			printRow(table, "child", child)
		}
	})
}

func fieldMap(fields settings.Fields) map[string]any {
	raw, _ := json.Marshal(fields)
	values := map[string]any{}
	_ = json.Unmarshal(raw, &values)
	return values
}

// fieldNames returns the names of the fields that are set, in the order in which they are encoded.
func fieldNames(fields settings.Fields) []string {
	raw, _ := json.Marshal(fields)
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	var names []string
	depth := 0
	for {
		token, err := decoder.Token()
		if err != nil {
			return names
		}
		if _, isDelimiter := token.(json.Delim); isDelimiter {
			depth++
			continue
		}
		if name, isName := token.(string); isName {
			names = append(names, name)
			_, _ = decoder.Token()
		}
	}
}

// parseFields merges FIELD=VALUE assignments into the own fields of a node; an empty VALUE removes
// the field.
func parseFields(own settings.Fields, assignments []string) (settings.Fields, error) {
	values := fieldMap(own)
	for _, assignment := range assignments {
		name, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return own, settingsError{fmt.Errorf("ochrebay: argument %q does not have the form FIELD=VALUE", assignment)}
		}
		if value == "" {
			delete(values, name)
			continue
		}
		if number, err := strconv.ParseInt(value, 10, 64); err == nil && !isTextField(name) {
			values[name] = number
		} else {
			values[name] = value
		}
	}
	raw, err := json.Marshal(values)
	if err != nil {
		return own, err
	}
	fields, err := settings.ParseFields(raw)
	if err != nil {
		return own, settingsError{fmt.Errorf("ochrebay: %w", err)}
	}
	return fields, nil
}

// isTextField reports whether a field holds text, which is the case if it accepts a JSON string.
func isTextField(name string) bool {
	probe, err := settings.ParseFields([]byte(`{"` + name + `":"1"}`))
	return err == nil && probe != settings.Fields{}
}

func (f changeFlags) readNode(path string) (control.SettingsView, error) {
	var view control.SettingsView
	response, err := f.callControl("GET", "/v1/settings?path="+url.QueryEscape(path), nil)
	if result.CodeOf(err) == result.NotFound {
		return view, nil
	}
	if err != nil {
		return view, err
	}
	return view, json.Unmarshal(response, &view)
}

func (f changeFlags) expectedVersion(view control.SettingsView) (uint64, error) {
	switch *f.version {
	case "":
		return view.Version, nil
	case "any":
		return settings.AnyVersion, nil
	}
	return strconv.ParseUint(*f.version, 10, 64)
}

func settingsSet(ctx context.Context, flags changeFlags, path string, assignments []string, validate bool) error {
	view, err := flags.readNode(path)
	if err != nil {
		return err
	}
	fields, err := parseFields(view.Own, assignments)
	if err != nil {
		return err
	}
	version, err := flags.expectedVersion(view)
	if err != nil {
		return settingsError{err}
	}
	return flags.propose(ctx, []settings.NodeChange{{Path: path, Version: version, Fields: fields}}, validate)
}

func settingsDelete(ctx context.Context, flags changeFlags, path string) error {
	view, err := flags.readNode(path)
	if err != nil {
		return err
	}
	version, err := flags.expectedVersion(view)
	if err != nil {
		return settingsError{err}
	}
	return flags.propose(ctx, []settings.NodeChange{{Path: path, Version: version, Delete: true}}, false)
}

func settingsImport(ctx context.Context, flags changeFlags, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return settingsError{err}
	}
	var nodes yaml.MapSlice
	if err := yaml.Unmarshal(raw, &nodes); err != nil {
		return settingsError{fmt.Errorf("%s: %w", file, err)}
	}
	change, err := workload.SettingsChangeFromYAML(nodes, *flags.operator, 0)
	if err != nil {
		return settingsError{fmt.Errorf("%s: %w", file, err)}
	}
	return flags.propose(ctx, change.Nodes, false)
}

// propose sends a change to control, which only validates it if validate is set. If a control
// process gives no answer, the change is sent to the next one under the same number, which ensures
// that it is applied at most once.
func (f changeFlags) propose(ctx context.Context, nodes []settings.NodeChange, validate bool) error {
	change := settings.Change{Operator: *f.operator, Number: *f.number, Nodes: nodes}
	if change.Number == 0 {
		change.Number = uint64(time.Now().UnixNano())
	}
	path := "/v1/settings"
	if validate {
		path += "/validate"
	}
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	response, err := f.callControl("POST", path, body)
	var reply settings.Reply
	if len(response) > 0 && json.Unmarshal(response, &reply) == nil && reply.Winner != nil {
		winner, _ := json.Marshal(reply.Winner)
		fmt.Fprintf(os.Stderr, "in force: %s\n", winner)
	}
	if err != nil {
		return err
	}
	if validate {
		fmt.Println("valid")
		return nil
	}
	fmt.Printf("accepted: revision %d\n", reply.Revision)
	if !*f.wait {
		return nil
	}
	return f.waitInForce(ctx, reply.Revision)
}

// waitInForce polls until every live daemon reports at least the revision, or the timeout ends.
func (f changeFlags) waitInForce(ctx context.Context, revision uint64) error {
	started := time.Now()
	var lagging []string
	for time.Since(started) < *f.timeout && ctx.Err() == nil {
		response, err := f.callControl("GET", "/v1/status", nil)
		if err == nil {
			var view control.StatusView
			if err := json.Unmarshal(response, &view); err != nil {
				return err
			}
			if lagging = laggingDaemons(view, revision); len(lagging) == 0 {
				fmt.Printf("in force on every live daemon after %d ms\n", time.Since(started).Milliseconds())
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return result.New(result.NotInForce, "revision %d is not yet in force on: %s", revision, strings.Join(lagging, ", "))
}

func laggingDaemons(view control.StatusView, revision uint64) []string {
	var lagging []string
	for _, daemon := range view.Daemons {
		if !daemon.Alive {
			continue
		}
		if daemon.Revision < revision {
			lagging = append(lagging, daemon.Name)
		}
		if daemon.Sidecars > 0 && daemon.SidecarRevision < revision {
			lagging = append(lagging, "sidecars of "+daemon.Name)
		}
	}
	return lagging
}

func settingsHistory(flags operatorFlags, path string) error {
	return callAndPrint(flags, "GET", "/v1/settings/history?path="+url.QueryEscape(path), nil, func(table *tabwriter.Writer, view control.HistoryView) {
		printRow(table, "REVISION", "AT", "OPERATOR", "NUMBER", "NODES")
		for _, accepted := range view.Changes {
			printChange(table, accepted)
		}
	})
}

func printChange(table *tabwriter.Writer, accepted settings.AcceptedChange) {
	var nodes []string
	for _, node := range accepted.Change.Nodes {
		if node.Delete {
			nodes = append(nodes, node.Path+" deleted")
			continue
		}
		raw, _ := json.Marshal(node.Fields)
		nodes = append(nodes, node.Path+" "+string(raw))
	}
	at := time.UnixMilli(accepted.Change.AtMs).UTC().Format(time.RFC3339)
	printRow(table, accepted.Revision, at, accepted.Change.Operator, accepted.Change.Number, strings.Join(nodes, " "))
}

func settingsWatch(ctx context.Context, flags operatorFlags, path string) error {
	lastRevision := uint64(0)
	for ctx.Err() == nil {
		response, err := flags.callControl("GET", "/v1/settings/history?path="+url.QueryEscape(path), nil)
		if err != nil {
			return err
		}
		var view control.HistoryView
		if err := json.Unmarshal(response, &view); err != nil {
			return err
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		for _, accepted := range view.Changes {
			if accepted.Revision > lastRevision {
				lastRevision = accepted.Revision
				printChange(table, accepted)
			}
		}
		if err := table.Flush(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(historyPollInterval):
		}
	}
	return nil
}
