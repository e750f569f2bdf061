package settings

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
)

// AnyVersion in a NodeChange skips the check of the node's version.
const AnyVersion = ^uint64(0)

const (
	maxRetainedChanges    = 2000
	maxRepliesPerOperator = 64
	maxPathDepth          = 8
	maxNodesPerChange     = 100_000
)

// NodeChange sets or deletes one node.
type NodeChange struct {
	Path string `json:"path" msgpack:"p"`
	// Version is the node's version that the change was made against: zero if the node must not
	// exist, AnyVersion for no check.
	Version uint64 `json:"version" msgpack:"v"`
	Fields  Fields `json:"fields" msgpack:"f"`
	Delete  bool   `json:"delete,omitempty" msgpack:"d,omitempty"`
}

// Change is a change requested by an operator; its nodes are changed atomically. Operator and
// Number identify it when it is resent.
type Change struct {
	Operator string       `json:"operator" msgpack:"o"`
	Number   uint64       `json:"number" msgpack:"n"`
	AtMs     int64        `json:"at_ms" msgpack:"a"`
	Nodes    []NodeChange `json:"nodes" msgpack:"c"`
	// Routing replaces the routing table if its generation is higher than the current one; a
	// change has either nodes or a table.
	Routing *routing.Table `json:"routing,omitempty" msgpack:"t,omitempty"`
}

// digest returns a digest of the change without its time.
func (c Change) digest() uint64 {
	c.AtMs = 0
	raw, _ := msgpack.Marshal(&c)
	return xxhash.Sum64(raw)
}

// AcceptedChange is a change with the revision at which it took effect.
type AcceptedChange struct {
	Revision uint64 `json:"revision" msgpack:"r"`
	Change   Change `json:"change" msgpack:"c"`
}

// Node is a node of the tree.
type Node struct {
	Path string `json:"path" msgpack:"p"`
	// Version is the revision of the node's last change.
	Version  uint64 `json:"version" msgpack:"v"`
	Operator string `json:"operator" msgpack:"o"`
	Fields   Fields `json:"fields" msgpack:"f"`
}

// Reply is the reply to a change.
type Reply struct {
	Error    *result.Error `json:"error,omitempty" msgpack:"e,omitempty"`
	Revision uint64        `json:"revision" msgpack:"r"`
	// Winner is the current node, if the change conflicts with an earlier one.
	Winner *Node `json:"winner,omitempty" msgpack:"w,omitempty"`
}

// recordedReply is the reply to an operator's change, recorded for resends.
type recordedReply struct {
	Number uint64 `msgpack:"n"`
	Digest uint64 `msgpack:"d"`
	Reply  Reply  `msgpack:"r"`
}

// state is the part of a tree that a snapshot contains.
type state struct {
	Revision  uint64
	Nodes     map[string]*Node
	Changes   []AcceptedChange
	Operators map[string][]recordedReply
	// Routing is the current routing table, nil before the first.
	Routing *routing.Table
}

// Tree is the replicated settings tree.
type Tree struct {
	state
	// DisableVersionCheck lets a change against an old version overwrite a newer one, for runs
	// that demonstrate the purpose of the check.
	DisableVersionCheck bool
}

// NewTree returns a tree with an empty root.
func NewTree() *Tree {
	return &Tree{state: state{
		Nodes:     map[string]*Node{"/": {Path: "/"}},
		Operators: map[string][]recordedReply{},
	}}
}

// Revision returns the current revision, which increases with each accepted change.
func (t *Tree) Revision() uint64 { return t.state.Revision }

// Apply applies a change, or returns the recorded reply if the change is a resend.
func (t *Tree) Apply(change Change) Reply {
	if change.Routing != nil {
		return t.replaceRouting(change.Routing)
	}
	if reply, done := t.replyToResend(change); done {
		return reply
	}
	reply := t.applyNew(change)
	t.recordReply(change, reply)
	return reply
}

// replyToResend returns the reply to a change whose number the operator has already used, or
// whose number is older than all recorded ones; false if the change is new.
func (t *Tree) replyToResend(change Change) (Reply, bool) {
	recorded := t.Operators[change.Operator]
	for _, earlier := range recorded {
		if earlier.Number != change.Number {
			continue
		}
		if earlier.Digest == change.digest() {
			return earlier.Reply, true
		}
		reply := Reply{
			Error:    result.New(result.ChangeNumberReuse, "operator %s used number %d for another change", change.Operator, change.Number),
			Revision: t.state.Revision,
		}
		if len(change.Nodes) > 0 {
			reply.Winner = t.Nodes[change.Nodes[0].Path]
		}
		return reply, true
	}
	if len(recorded) == maxRepliesPerOperator && change.Number < recorded[0].Number {
		return Reply{
			Error:    result.New(result.ChangeNumberReuse, "number %d is older than all recorded numbers of operator %s", change.Number, change.Operator),
			Revision: t.state.Revision,
		}, true
	}
	return Reply{}, false
}

func (t *Tree) recordReply(change Change, reply Reply) {
	recorded := append(t.Operators[change.Operator], recordedReply{change.Number, change.digest(), reply})
	slices.SortFunc(recorded, func(a, b recordedReply) int { return int(int64(a.Number) - int64(b.Number)) })
	if len(recorded) > maxRepliesPerOperator {
		recorded = recorded[1:]
	}
	t.Operators[change.Operator] = recorded
}

func (t *Tree) applyNew(change Change) Reply {
	if winner, err := t.Validate(change); err != nil {
		return Reply{Error: err, Revision: t.state.Revision, Winner: winner}
	}
	t.state.Revision++
	for _, node := range change.Nodes {
		t.putNode(node, change.Operator)
	}
	t.Changes = append(t.Changes, AcceptedChange{Revision: t.state.Revision, Change: change})
	t.TrimChanges()
	return Reply{Revision: t.state.Revision}
}

// Routing returns the current routing table, nil before the first.
func (t *Tree) Routing() *routing.Table { return t.state.Routing }

// replaceRouting replaces the routing table. Invariant: the generation never decreases; a table
// whose generation is not higher than the current one changes nothing, whatever its content.
// The history has no tables: followers receive deltas between generations.
func (t *Tree) replaceRouting(table *routing.Table) Reply {
	if failure := table.Validate(); failure != nil {
		return Reply{Error: failure, Revision: t.state.Revision}
	}
	if t.state.Routing == nil || table.Generation > t.state.Routing.Generation {
		t.state.Routing = table
	}
	return Reply{Revision: t.state.Revision}
}

func (t *Tree) putNode(change NodeChange, operator string) {
	if change.Delete {
		delete(t.Nodes, change.Path)
		return
	}
	t.Nodes[change.Path] = &Node{Path: change.Path, Version: t.state.Revision, Operator: operator, Fields: change.Fields}
}

// ApplyAccepted applies an accepted change to a follower's tree. It returns false, without
// applying the change, if the change is not the direct successor of the current revision.
func (t *Tree) ApplyAccepted(accepted AcceptedChange) bool {
	if accepted.Revision != t.state.Revision+1 {
		return false
	}
	t.state.Revision = accepted.Revision
	t.Changes = append(t.Changes, accepted)
	for _, node := range accepted.Change.Nodes {
		t.putNode(node, accepted.Change.Operator)
	}
	return true
}

// TrimChanges drops the oldest changes if more than maxRetainedChanges are retained, for the
// history and for followers; the newest maxRetainedChanges/2 remain.
func (t *Tree) TrimChanges() {
	if len(t.Changes) > maxRetainedChanges {
		t.Changes = slices.Clone(t.Changes[len(t.Changes)-maxRetainedChanges/2:])
	}
}

// ChangesSince returns the accepted changes after a revision. It returns false if some of them
// are no longer retained or the revision is higher than the current one, so that the follower
// needs a snapshot.
func (t *Tree) ChangesSince(revision uint64) ([]AcceptedChange, bool) {
	if revision > t.state.Revision {
		return nil, false
	}
	count := int(t.state.Revision - revision)
	if count > len(t.Changes) {
		return nil, false
	}
	return t.Changes[len(t.Changes)-count:], true
}

// History returns the retained changes that affect a path, newest last; for "/" and "" it
// returns all.
func (t *Tree) History(path string) []AcceptedChange {
	var found []AcceptedChange
	for _, accepted := range t.Changes {
		for _, node := range accepted.Change.Nodes {
			if path == "" || path == "/" || node.Path == path {
				found = append(found, accepted)
				break
			}
		}
	}
	return found
}

// Get returns a node with only its own fields, without inheritance.
func (t *Tree) Get(path string) (Node, bool) {
	node, ok := t.Nodes[path]
	if !ok {
		return Node{}, false
	}
	return *node, true
}

// Paths returns the paths of the nodes at and below a prefix, in ascending order.
func (t *Tree) Paths(prefix string) []string {
	var paths []string
	for path := range t.Nodes {
		if isWithin(path, prefix) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

func isWithin(path, prefix string) bool {
	return prefix == "/" || path == prefix || strings.HasPrefix(path, prefix+"/")
}

// EffectiveFields returns the fields of a path including all inherited ones. A path without a
// node inherits every field.
func (t *Tree) EffectiveFields(path string) Fields {
	return effectiveFields(t.lookup, path)
}

func (t *Tree) lookup(path string) (Fields, bool) {
	node, ok := t.Nodes[path]
	if !ok {
		return Fields{}, false
	}
	return node.Fields, true
}

func effectiveFields(lookup func(string) (Fields, bool), path string) Fields {
	fields := Defaults()
	for _, ancestor := range pathWithAncestors(path) {
		if own, ok := lookup(ancestor); ok {
			fields = overlay(fields, own)
		}
	}
	return fields
}

// pathWithAncestors returns a path and all its ancestors, the root first.
func pathWithAncestors(path string) []string {
	paths := []string{"/"}
	for position, character := range path {
		if character == '/' && position > 0 {
			paths = append(paths, path[:position])
		}
	}
	if path != "/" {
		paths = append(paths, path)
	}
	return paths
}

var pathPattern = regexp.MustCompile(`^/([A-Za-z0-9_.-]+(/[A-Za-z0-9_.-]+)*)?$`)

// Validate validates a change against the whole tree without applying it. If a node's version is
// not the current one, it returns the current node along with the error.
func (t *Tree) Validate(change Change) (*Node, *result.Error) {
	if change.Operator == "" || len(change.Nodes) == 0 || len(change.Nodes) > maxNodesPerChange {
		return nil, result.New(result.SettingsInvalid, "a change needs an operator and 1 to %d nodes", maxNodesPerChange)
	}
	changed := map[string]NodeChange{}
	for _, node := range change.Nodes {
		if err := t.validateNode(node); err != nil {
			return nil, err
		}
		if winner, ok := t.versionConflict(node); ok {
			return winner, result.New(result.SettingsConflict, "%s: version %d is not the one in force", node.Path, node.Version)
		}
		changed[node.Path] = node
	}
	return nil, t.validateReferences(changed)
}

func (t *Tree) validateNode(node NodeChange) *result.Error {
	if !pathPattern.MatchString(node.Path) || strings.Count(node.Path, "/") > maxPathDepth {
		return result.New(result.SettingsInvalid, "%q is not a path", node.Path)
	}
	if node.Delete && node.Path == "/" {
		return result.New(result.SettingsInvalid, "/: the root can't be deleted")
	}
	if node.Delete && len(t.Paths(node.Path)) > 1 {
		return result.New(result.SettingsInvalid, "%s: has children", node.Path)
	}
	if err := node.Fields.validate(); err != nil {
		return result.New(result.SettingsInvalid, "%s: %v", node.Path, err)
	}
	return nil
}

func (t *Tree) versionConflict(node NodeChange) (*Node, bool) {
	if node.Version == AnyVersion || t.DisableVersionCheck {
		return nil, false
	}
	current, ok := t.Nodes[node.Path]
	if !ok {
		return nil, node.Version != 0
	}
	return current, current.Version != node.Version
}

// validateReferences checks that, after the change, every service would have an existing pool
// and every pool a model.
func (t *Tree) validateReferences(changed map[string]NodeChange) *result.Error {
	lookup := func(path string) (Fields, bool) {
		if node, ok := changed[path]; ok {
			return node.Fields, !node.Delete
		}
		return t.lookup(path)
	}
	for _, path := range t.childPathsAfter(changed, "/services") {
		pool := effectiveFields(lookup, path).Pool
		if pool == nil {
			return result.New(result.SettingsInvalid, "%s: field pool: a service needs one", path)
		}
		if _, ok := lookup("/pools/" + *pool); !ok {
			return result.New(result.SettingsInvalid, "%s: field pool: there is no /pools/%s", path, *pool)
		}
	}
	for _, path := range t.childPathsAfter(changed, "/pools") {
		model := effectiveFields(lookup, path).Model
		if model == nil || *model == "" {
			return result.New(result.SettingsInvalid, "%s: field model: a pool needs one", path)
		}
	}
	return nil
}

// childPathsAfter returns the paths of the children that a branch would have after the change.
func (t *Tree) childPathsAfter(changed map[string]NodeChange, branch string) []string {
	var paths []string
	for _, name := range t.Children(branch) {
		path := branch + "/" + name
		if node, ok := changed[path]; !ok || !node.Delete {
			paths = append(paths, path)
		}
	}
	for path, node := range changed {
		_, exists := t.Nodes[path]
		if !exists && !node.Delete && strings.HasPrefix(path, branch+"/") && strings.Count(path, "/") == 2 {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// Children returns the names of the direct children of a branch.
func (t *Tree) Children(branch string) []string {
	var names []string
	for path := range t.Nodes {
		name, ok := strings.CutPrefix(path, branch+"/")
		if ok && !strings.Contains(name, "/") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// snapshot is the encoded form of a tree. Its order is the same on every replica.
type snapshot struct {
	Revision  uint64           `msgpack:"r"`
	Nodes     []*Node          `msgpack:"n"`
	Changes   []AcceptedChange `msgpack:"c"`
	Operators []operatorState  `msgpack:"o"`
	Routing   *routing.Table   `msgpack:"t,omitempty"`
}

type operatorState struct {
	Name    string          `msgpack:"n"`
	Changes []recordedReply `msgpack:"c"`
}

// Snapshot encodes the tree.
func (t *Tree) Snapshot() ([]byte, error) {
	encoded := snapshot{Revision: t.state.Revision, Changes: t.Changes, Routing: t.state.Routing}
	for _, path := range t.Paths("/") {
		encoded.Nodes = append(encoded.Nodes, t.Nodes[path])
	}
	for name, changes := range t.Operators {
		encoded.Operators = append(encoded.Operators, operatorState{name, changes})
	}
	slices.SortFunc(encoded.Operators, func(a, b operatorState) int { return strings.Compare(a.Name, b.Name) })
	return msgpack.Marshal(&encoded)
}

// Restore replaces the tree by a snapshot; empty data results in an empty tree.
func (t *Tree) Restore(data []byte) error {
	var encoded snapshot
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &encoded); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	restored := NewTree().state
	restored.Revision = encoded.Revision
	restored.Changes = encoded.Changes
	restored.Routing = encoded.Routing
	for _, node := range encoded.Nodes {
		restored.Nodes[node.Path] = node
	}
	for _, operator := range encoded.Operators {
		restored.Operators[operator.Name] = operator.Changes
	}
	t.state = restored
	return nil
}

// FollowerState encodes the part of the tree that follower processes need: its nodes and
// revision, without the changes and operators.
func (t *Tree) FollowerState() ([]byte, error) {
	follower := Tree{state: state{Revision: t.state.Revision, Nodes: t.Nodes}}
	return follower.Snapshot()
}
