package control

import (
	"encoding/json"
	"github.com/ochrebay/ochrebay/internal/replication"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// SettingsView describes one node of the settings tree to operators.
type SettingsView struct {
	Revision uint64 `json:"revision"`
	Path     string `json:"path"`
	// Exists distinguishes a node with its own settings from one that only inherits.
	Exists    bool            `json:"exists"`
	Version   uint64          `json:"version"`
	Operator  string          `json:"operator,omitempty"`
	Own       settings.Fields `json:"own"`
	Effective settings.Fields `json:"effective"`
	Children  []string        `json:"children,omitempty"`
}

// HistoryView lists accepted settings changes, newest last.
type HistoryView struct {
	Revision uint64                    `json:"revision"`
	Changes  []settings.AcceptedChange `json:"changes"`
}

// DaemonView describes one daemon as the leader of the settings group sees it.
type DaemonView struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Alive    bool   `json:"alive"`
	Revision uint64 `json:"revision"`
	Detail   string `json:"detail"`
	// Sidecars and SidecarRevision describe the sidecars of a scheduler, and Lagging
	// names some of those whose settings are out of date.
	Sidecars        int      `json:"sidecars,omitempty"`
	SidecarRevision uint64   `json:"sidecar_revision,omitempty"`
	Lagging         []string `json:"lagging,omitempty"`
}

// GroupView describes one replication group as this process sees it.
type GroupView struct {
	Group     uint32              `json:"group"`
	Leader    string              `json:"leader"`
	Term      uint64              `json:"term"`
	Committed uint64              `json:"committed"`
	Replicas  []consensus.Replica `json:"replicas"`
}

// StatusView summarizes the whole system.
type StatusView struct {
	Revision         uint64       `json:"revision"`
	DirectoryVersion uint64       `json:"directory"`
	Leader           string       `json:"leader"`
	Daemons          []DaemonView `json:"daemons"`
	Groups           []GroupView  `json:"groups"`
}

// EnginesView lists the engines with their owners, and the engines that serve gateways.
type EnginesView struct {
	DirectoryVersion uint64              `json:"directory"`
	Engines          []membership.Engine `json:"engines"`
	Serving          []ServingView       `json:"serving,omitempty"`
}

// ProgramView describes the ledger entry of one program.
type ProgramView struct {
	program.Header
	State           string       `json:"state"`
	RemainingTokens int64        `json:"budget_left"`
	OpenTurn        uint64       `json:"open_turn,omitempty"`
	Threads         []ThreadView `json:"threads"`
	Group           uint32       `json:"group"`
	// Turns is set if the request asked for the turn records.
	Turns []program.TurnRecord `json:"turns,omitempty"`
}

// ThreadView describes one thread of a program.
type ThreadView struct {
	Name     string                 `json:"name"`
	Parent   string                 `json:"parent,omitempty"`
	ForkTurn uint64                 `json:"fork_turn,omitempty"`
	Messages int                    `json:"messages"`
	Lineage  []program.ThreadPrefix `json:"lineage"`
}

// ProgramsView lists programs, of one ledger group or of all.
type ProgramsView struct {
	Programs []ProgramView `json:"programs"`
}

func (c *Core) handleReadRequest(id RequestID, request *protocol.ReadRequest) {
	group, leader, failure := c.ledGroup(request.Group)
	if failure != nil {
		c.transport.Reply(id, &protocol.ReadReply{Error: failure, Leader: leader})
		return
	}
	c.host.LinearizableRead(group, func(failure *result.Error) {
		if failure != nil {
			c.transport.Reply(id, &protocol.ReadReply{Error: failure})
			return
		}
		c.transport.Reply(id, c.readReply(group, request))
	})
}

func (c *Core) readReply(group *replication.Group, request *protocol.ReadRequest) *protocol.ReadReply {
	view, failure := c.view(group, request)
	if failure != nil {
		return &protocol.ReadReply{Error: failure}
	}
	body, err := json.Marshal(view)
	if err != nil {
		return &protocol.ReadReply{Error: result.New(result.Internal, "%v", err)}
	}
	return &protocol.ReadReply{Body: body}
}

func (c *Core) view(group *replication.Group, request *protocol.ReadRequest) (any, *result.Error) {
	switch request.Topic {
	case protocol.ReadSettings:
		return c.settingsView(request.Path)
	case protocol.ReadHistory:
		return HistoryView{Revision: c.SettingsRevision(), Changes: c.system.tree.History(request.Path)}, nil
	case protocol.ReadStatus:
		return c.statusView(), nil
	case protocol.ReadEngines:
		return EnginesView{DirectoryVersion: c.system.directory.Version, Engines: c.system.directory.EngineList(), Serving: c.servingViews()}, nil
	}
	if group.ID == 0 {
		return nil, result.New(result.NotFound, "the settings group has no such read topic")
	}
	if request.Topic == protocol.ReadPrograms {
		return c.programsView(group, request.Limit), nil
	}
	// A limit above 0 in a request for one program asks for its turn records.
	return c.programView(group, request.Program, request.Limit > 0)
}

func (c *Core) settingsView(path string) (any, *result.Error) {
	tree := c.system.tree
	node, exists := tree.Get(path)
	paths := tree.Paths(path)
	if !exists && len(paths) == 0 {
		return nil, result.New(result.NotFound, "no node at or below %s", path)
	}
	view := SettingsView{
		Revision: tree.Revision(), Path: path, Exists: exists, Version: node.Version,
		Operator: node.Operator, Own: node.Fields, Effective: tree.EffectiveFields(path),
	}
	for _, child := range paths {
		if child != path {
			view.Children = append(view.Children, child)
		}
	}
	return view, nil
}

func (c *Core) statusView() StatusView {
	view := StatusView{
		Revision: c.SettingsRevision(), DirectoryVersion: c.system.directory.Version, Leader: c.leaderName(c.host.Groups[0]),
	}
	for _, member := range c.options.Members {
		view.Daemons = append(view.Daemons, c.memberView(member))
	}
	reports := map[string]membership.Report{}
	if c.schedulerTracker != nil {
		reports = c.schedulerTracker.LiveReports(c.nowMs)
	}
	for _, scheduler := range c.system.directory.SchedulerList() {
		view.Daemons = append(view.Daemons, schedulerView(scheduler, reports))
	}
	for _, group := range c.host.Groups {
		view.Groups = append(view.Groups, GroupView{
			Group: uint32(group.ID), Leader: c.leaderName(group), Term: group.Node.Term(),
			Committed: group.Node.CommitIndex(), Replicas: group.Node.Configuration().Replicas,
		})
	}
	return view
}

func (c *Core) memberView(member Member) DaemonView {
	view := DaemonView{Name: member.Name, Role: "control", Zone: member.Zone, Address: member.Address}
	if member.Name == c.options.Name {
		view.Alive = true
		view.Revision = c.SettingsRevision()
		return view
	}
	view.Alive = c.nowMs-c.lastReceivedMs[member.Name] < suspectTimeoutMs
	view.Revision = c.memberRevisions[member.Name]
	return view
}

func schedulerView(scheduler membership.Scheduler, reports map[string]membership.Report) DaemonView {
	view := DaemonView{Name: scheduler.Name, Role: "scheduler", Zone: scheduler.Zone, Address: scheduler.Address}
	if scheduler.Draining {
		view.Detail = "draining"
	}
	report, ok := reports[scheduler.Name]
	if !ok {
		return view
	}
	view.Alive = true
	view.Revision = report.Heartbeat.Revision
	view.Sidecars = report.Heartbeat.SidecarCount
	view.SidecarRevision = report.Heartbeat.SidecarRevision
	view.Lagging = report.Heartbeat.LaggingSidecars
	return view
}

func (c *Core) programsView(group *replication.Group, limit int) ProgramsView {
	ledger := group.StateMachine.(*ledgerStateMachine).ledger
	var view ProgramsView
	for _, id := range ledger.IDs() {
		if len(view.Programs) == limit {
			return view
		}
		header, _ := ledger.Get(id)
		view.Programs = append(view.Programs, newProgramView(group, header))
	}
	return view
}

func newProgramView(group *replication.Group, header *program.Header) ProgramView {
	view := ProgramView{Header: *header, State: "waiting", RemainingTokens: header.RemainingTokens(), Group: uint32(group.ID)}
	if header.Open != nil {
		view.State = "running"
		view.OpenTurn = header.Open.Turn
	}
	if header.Ended {
		view.State = "ended"
	}
	for _, thread := range header.Threads {
		lineage, _ := header.Lineage(thread.Name)
		view.Threads = append(view.Threads, ThreadView{
			Name: thread.Name, Parent: thread.Parent, ForkTurn: thread.ForkTurn, Messages: thread.Messages, Lineage: lineage,
		})
	}
	return view
}

func (c *Core) programView(group *replication.Group, id string, withTurns bool) (any, *result.Error) {
	header, ok := group.StateMachine.(*ledgerStateMachine).ledger.Get(id)
	if !ok {
		return nil, result.New(result.NotFound, "no program %s", id)
	}
	view := newProgramView(group, header)
	if !withTurns {
		return view, nil
	}
	records, err := c.host.Records(group, id, 0)
	if err != nil {
		return nil, result.New(result.Internal, "reading turn records: %v", err)
	}
	for _, raw := range records {
		var record program.TurnRecord
		if err := protocol.Decode(raw, &record); err != nil {
			return nil, result.New(result.Internal, "decoding a turn record: %v", err)
		}
		view.Turns = append(view.Turns, record)
	}
	return view, nil
}
