package protocol

import (
	"slices"

	"github.com/ochrebay/ochrebay/internal/settings"
)

// NewFeed returns what a follower at a revision lacks of a tree.
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

// ApplyTo returns a follower's tree with the feed's news. Invariant: the revision
// only grows, whoever sent the feed; backwards lets it fall, for runs that show
// what the check is for.
func (f Feed) ApplyTo(tree *settings.Tree, backwards bool) *settings.Tree {
	if len(f.Snapshot) > 0 {
		fresh := settings.NewTree()
		if fresh.Restore(f.Snapshot) == nil && (fresh.Revision() > tree.Revision() || backwards) {
			tree = fresh
		}
	}
	for _, accepted := range f.Changes {
		tree.ApplyAccepted(accepted)
	}
	tree.TrimChanges()
	return tree
}
