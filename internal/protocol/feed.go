package protocol

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/settings"
)

// NewFeed returns the update that brings a follower from a revision to the tree's revision: the
// changes, or a snapshot if they are no longer retained. The caller adds the roster and the number
// of ledger groups.
func NewFeed(tree *settings.Tree, revision uint64) Feed {
	var feed Feed
	changes, ok := tree.ChangesSince(revision)
	if ok {
		feed.Changes = slices.Clone(changes)
		return feed
	}
	if revision < tree.Revision() {
		feed.Snapshot, _ = tree.FollowerState()
	}
	return feed
}

// ApplyTo applies the feed to a follower's tree and returns the tree. Invariant: the revision never
// decreases, whichever process sent the feed. allowRollback permits snapshots to lower the
// revision, for runs that demonstrate why it must not.
func (f Feed) ApplyTo(tree *settings.Tree, allowRollback bool) *settings.Tree {
	if len(f.Snapshot) > 0 {
		restored := settings.NewTree()
		if restored.Restore(f.Snapshot) == nil && (restored.Revision() > tree.Revision() || allowRollback) {
			tree = restored
		}
	}
	for _, accepted := range f.Changes {
		tree.ApplyAccepted(accepted)
	}
	tree.TrimChanges()
	return tree
}
