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
	keptChanges       = 2000
	keptPerOperator   = 64
	maxPathDepth      = 8
	maxNodesPerChange = 100_000
)

// NodeChange sets or deletes one node.
type NodeChange struct {
	Path string `json:"path" msgpack:"p"`
	// Version is the node's version that the change was made against: zero for
	// a node that must not exist, AnyVersion for no check.
	Version uint64 `json:"version" msgpack:"v"`
	Fields  Fields `json:"fields" msgpack:"f"`
	Delete  bool   `json:"delete,omitempty" msgpack:"d,omitempty"`
}

// Change is what an operator asks for; its nodes are changed together or not
// at all. Operator and Number identify it for resends.
type Change struct {
	Operator string       `json:"operator" msgpack:"o"`
	Number   uint64       `json:"number" msgpack:"n"`
	AtMs     int64        `json:"at_ms" msgpack:"a"`
	Nodes    []NodeChange `json:"nodes" msgpack:"c"`
	// Routing replaces the routing table where its generation is above the one in
	// force; a change carries either nodes or a table.
	Routing *routing.Table `json:"routing,omitempty" msgpack:"t,omitempty"`
}

// digest identifies the content of a change, its time aside.
func (c Change) digest() uint64 {
	c.AtMs = 0
	raw, _ := msgpack.Marshal(&c)
	return xxhash.Sum64(raw)
}

// AcceptedChange is a change with the revision at which it came into force.
type AcceptedChange struct {
	Revision uint64 `json:"revision" msgpack:"r"`
	Change   Change `json:"change" msgpack:"c"`
}

// Node is one node of the tree.
type Node struct {
	Path string `json:"path" msgpack:"p"`
	// Version is the revision of the node's last change.
	Version  uint64 `json:"version" msgpack:"v"`
	Operator string `json:"operator" msgpack:"o"`
	Fields   Fields `json:"fields" msgpack:"f"`
}

// Reply answers one change.
type Reply struct {
	Error    *result.Error `json:"error,omitempty" msgpack:"e,omitempty"`
	Revision uint64        `json:"revision" msgpack:"r"`
	// Winner is the node as it stands, where the change lost a race.
	Winner *Node `json:"winner,omitempty" msgpack:"w,omitempty"`
}

// numbered remembers the answer to one numbered change of an operator.
type numbered struct {
	Number uint64 `msgpack:"n"`
	Digest uint64 `msgpack:"d"`
	Reply  Reply  `msgpack:"r"`
}

// state is what a snapshot holds.
type state struct {
	Revision  uint64
	Nodes     map[string]*Node
	Changes   []AcceptedChange
	Operators map[string][]numbered
	// Routing is the table in force, nil before the first.
	Routing *routing.Table
}

// Tree is the replicated settings tree.
type Tree struct {
	state
	// DisableVersionCheck lets an older version overwrite a newer one, for runs
	// that show what the check is for.
	DisableVersionCheck bool
}

// NewTree returns a tree with an empty root.
func NewTree() *Tree {
	return &Tree{state: state{
		Nodes:     map[string]*Node{"/": {Path: "/"}},
		Operators: map[string][]numbered{},
	}}
}

// Revision returns the revision in force; it grows with each accepted change.
func (t *Tree) Revision() uint64 { return t.state.Revision }

// Apply carries out one change.
func (t *Tree) Apply(change Change) Reply {
	if change.Routing != nil {
		return t.replaceRouting(change.Routing)
	}
	if reply, done := t.resent(change); done {
		return reply
	}
	reply := t.apply(change)
	t.remember(change, reply)
	return reply
}

// resent answers a change whose number the operator has used before.
func (t *Tree) resent(change Change) (Reply, bool) {
	known := t.Operators[change.Operator]
	for _, earlier := range known {
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
	if len(known) == keptPerOperator && change.Number < known[0].Number {
		return Reply{
			Error:    result.New(result.ChangeNumberReuse, "number %d is older than all that is kept of operator %s", change.Number, change.Operator),
			Revision: t.state.Revision,
		}, true
	}
	return Reply{}, false
}

func (t *Tree) remember(change Change, reply Reply) {
	known := append(t.Operators[change.Operator], numbered{change.Number, change.digest(), reply})
	slices.SortFunc(known, func(a, b numbered) int { return int(int64(a.Number) - int64(b.Number)) })
	if len(known) > keptPerOperator {
		known = known[1:]
	}
	t.Operators[change.Operator] = known
}

func (t *Tree) apply(change Change) Reply {
	if winner, err := t.Validate(change); err != nil {
		return Reply{Error: err, Revision: t.state.Revision, Winner: winner}
	}
	t.state.Revision++
	for _, node := range change.Nodes {
		t.put(node, change.Operator)
	}
	t.Changes = append(t.Changes, AcceptedChange{Revision: t.state.Revision, Change: change})
	t.TrimChanges()
	return Reply{Revision: t.state.Revision}
}

// Routing returns the routing table in force, nil before the first.
func (t *Tree) Routing() *routing.Table { return t.state.Routing }

// replaceRouting puts a table in force as a whole. Invariant: the generation only
// grows; one that is not above the one in force changes nothing, whatever it holds.
// The history keeps no tables: followers get differences between generations.
func (t *Tree) replaceRouting(table *routing.Table) Reply {
	if failure := table.Validate(); failure != nil {
		return Reply{Error: failure, Revision: t.state.Revision}
	}
	if t.state.Routing == nil || table.Generation > t.state.Routing.Generation {
		t.state.Routing = table
	}
	return Reply{Revision: t.state.Revision}
}

func (t *Tree) put(change NodeChange, operator string) {
	if change.Delete {
		delete(t.Nodes, change.Path)
		return
	}
	t.Nodes[change.Path] = &Node{Path: change.Path, Version: t.state.Revision, Operator: operator, Fields: change.Fields}
}

// ApplyAccepted applies an accepted change as a follower of the tree does; it reports
// false where the change doesn't come right after the revision in force.
func (t *Tree) ApplyAccepted(accepted AcceptedChange) bool {
	if accepted.Revision != t.state.Revision+1 {
		return false
	}
	t.state.Revision = accepted.Revision
	t.Changes = append(t.Changes, accepted)
	for _, node := range accepted.Change.Nodes {
		t.put(node, accepted.Change.Operator)
	}
	return true
}

// TrimChanges bounds the changes that a follower keeps for its own followers.
func (t *Tree) TrimChanges() {
	if len(t.Changes) > keptChanges {
		t.Changes = slices.Clone(t.Changes[len(t.Changes)-keptChanges/2:])
	}
}

// ChangesSince returns the accepted changes after a revision; false where the oldest
// of them is no longer kept, so that the follower needs a snapshot.
func (t *Tree) ChangesSince(revision uint64) ([]AcceptedChange, bool) {
	if revision > t.state.Revision {
		return nil, false
	}
	missing := int(t.state.Revision - revision)
	if missing > len(t.Changes) {
		return nil, false
	}
	return t.Changes[len(t.Changes)-missing:], true
}

// History returns the kept changes that touched a path, newest last; "/" and
// "" give all.
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

// Get returns a node as it was set.
func (t *Tree) Get(path string) (Node, bool) {
	node, ok := t.Nodes[path]
	if !ok {
		return Node{}, false
	}
	return *node, true
}

// Paths returns the paths of the nodes below a prefix, in ascending order.
func (t *Tree) Paths(prefix string) []string {
	var paths []string
	for path := range t.Nodes {
		if isBelow(path, prefix) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

func isBelow(path, prefix string) bool {
	return prefix == "/" || path == prefix || strings.HasPrefix(path, prefix+"/")
}

// EffectiveFields returns the node's fields with all that it inherits. A path that
// has no node of its own inherits everything.
func (t *Tree) EffectiveFields(path string) Fields {
	return effective(t.lookup, path)
}

func (t *Tree) lookup(path string) (Fields, bool) {
	node, ok := t.Nodes[path]
	if !ok {
		return Fields{}, false
	}
	return node.Fields, true
}

func effective(lookup func(string) (Fields, bool), path string) Fields {
	fields := Defaults()
	for _, ancestor := range ancestry(path) {
		if own, ok := lookup(ancestor); ok {
			fields = overlay(fields, own)
		}
	}
	return fields
}

// ancestry returns a path and all above it, the root first.
func ancestry(path string) []string {
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

// Validate validates a change against the tree as a whole and changes nothing. It
// returns the node that won where a version is older than the tree's.
func (t *Tree) Validate(change Change) (*Node, *result.Error) {
	if change.Operator == "" || len(change.Nodes) == 0 || len(change.Nodes) > maxNodesPerChange {
		return nil, result.New(result.SettingsInvalid, "a change needs an operator and 1 to %d nodes", maxNodesPerChange)
	}
	changed := map[string]NodeChange{}
	for _, node := range change.Nodes {
		if err := t.checkNode(node); err != nil {
			return nil, err
		}
		if winner, ok := t.versionConflict(node); ok {
			return winner, result.New(result.SettingsConflict, "%s: version %d is not the one in force", node.Path, node.Version)
		}
		changed[node.Path] = node
	}
	return nil, t.checkReferences(changed)
}

func (t *Tree) checkNode(node NodeChange) *result.Error {
	if !pathPattern.MatchString(node.Path) || strings.Count(node.Path, "/") > maxPathDepth {
		return result.New(result.SettingsInvalid, "%q is not a path", node.Path)
	}
	if node.Delete && node.Path == "/" {
		return result.New(result.SettingsInvalid, "/: the root can't be deleted")
	}
	if node.Delete && len(t.Paths(node.Path)) > 1 {
		return result.New(result.SettingsInvalid, "%s: has children", node.Path)
	}
	if err := node.Fields.check(); err != nil {
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

// checkReferences holds every service to a pool, and every pool to a model, as
// they would be after the change.
func (t *Tree) checkReferences(changed map[string]NodeChange) *result.Error {
	lookup := func(path string) (Fields, bool) {
		if node, ok := changed[path]; ok {
			return node.Fields, !node.Delete
		}
		return t.lookup(path)
	}
	for _, path := range t.pathsAfter(changed, "/services") {
		pool := effective(lookup, path).Pool
		if pool == nil {
			return result.New(result.SettingsInvalid, "%s: field pool: a service needs one", path)
		}
		if _, ok := lookup("/pools/" + *pool); !ok {
			return result.New(result.SettingsInvalid, "%s: field pool: there is no /pools/%s", path, *pool)
		}
	}
	for _, path := range t.pathsAfter(changed, "/pools") {
		model := effective(lookup, path).Model
		if model == nil || *model == "" {
			return result.New(result.SettingsInvalid, "%s: field model: a pool needs one", path)
		}
	}
	return nil
}

// pathsAfter lists the children of a branch as they would be after the change.
func (t *Tree) pathsAfter(changed map[string]NodeChange, branch string) []string {
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

// Children returns the names right below a branch of the root.
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

// snapshot is the encoded form of a tree, in an order that is the same on every
// replica.
type snapshot struct {
	Revision  uint64           `msgpack:"r"`
	Nodes     []*Node          `msgpack:"n"`
	Changes   []AcceptedChange `msgpack:"c"`
	Operators []operatorState  `msgpack:"o"`
	Routing   *routing.Table   `msgpack:"t,omitempty"`
}

type operatorState struct {
	Name    string     `msgpack:"n"`
	Changes []numbered `msgpack:"c"`
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

// Restore replaces the tree by a snapshot; empty data gives an empty tree.
func (t *Tree) Restore(data []byte) error {
	var encoded snapshot
	if len(data) > 0 {
		if err := msgpack.Unmarshal(data, &encoded); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	fresh := NewTree().state
	fresh.Revision = encoded.Revision
	fresh.Changes = encoded.Changes
	fresh.Routing = encoded.Routing
	for _, node := range encoded.Nodes {
		fresh.Nodes[node.Path] = node
	}
	for _, operator := range encoded.Operators {
		fresh.Operators[operator.Name] = operator.Changes
	}
	t.state = fresh
	return nil
}

// FollowerState encodes what a daemon needs that follows the tree: its nodes
// and revision without the changes and operators.
func (t *Tree) FollowerState() ([]byte, error) {
	follower := Tree{state: state{Revision: t.state.Revision, Nodes: t.Nodes}}
	return follower.Snapshot()
}
