package ledger

import (
	"bytes"
	"fmt"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/replication"
	"github.com/ochrebay/ochrebay/internal/storage"
)

// membershipQueryIntervalMs is how often an orphaned replica asks whether its group has removed it.
const membershipQueryIntervalMs = 1000

// leftGroup is the metadata value of a group that has removed the replica of this disk.
var leftGroup = []byte{1}

// leftGroupKey is the metadata name under which a disk records that a group has removed its replica.
func leftGroupKey(id storage.GroupID) string { return fmt.Sprintf("left-group-%d", id) }

// removeOrphan asks the hosts of a group's placement whether the group has removed the replica of this host, once
// that has had no known leader for removeOrphanAfterMs and is not part of the placement. Invariant: a replica that
// may have voted is hosted until a leader has said that the group decides without it. The placement alone does not
// say that: the group can reach it only while a majority of the group's own voters is hosted.
func (c *Core) removeOrphan(group *replication.Group, placement membership.Placement) {
	if isPlacedAt(placement, c.options.Member) || group.Node.Leader() != consensus.None {
		delete(c.leaderlessSinceMs, group.ID)
		return
	}
	since, known := c.leaderlessSinceMs[group.ID]
	if !known {
		c.leaderlessSinceMs[group.ID] = c.nowMs
		return
	}
	if c.nowMs-since <= removeOrphanAfterMs {
		return
	}
	if len(group.Node.Configuration().Replicas) == 0 {
		// The group never sent this replica anything, so that its disk holds nothing of the group.
		c.stopHosting(group.ID)
		return
	}
	if c.nowMs-c.lastMembershipQueryMs[group.ID] < membershipQueryIntervalMs {
		return
	}
	c.lastMembershipQueryMs[group.ID] = c.nowMs
	query := protocol.GroupReplica{Group: uint32(group.ID), Replica: c.storage.Replica()}
	for _, member := range placement.Members {
		c.transport.Send(member, c.newBatch(protocol.PeerBatch{MembershipQueries: []protocol.GroupReplica{query}}))
	}
}

func (c *Core) stopHosting(id storage.GroupID) {
	delete(c.leaderlessSinceMs, id)
	delete(c.lastMembershipQueryMs, id)
	c.host.RemoveGroup(id)
}

// handleMembershipQueries answers the queries of another host about replicas that have left groups led here.
func (c *Core) handleMembershipQueries(from string, queries []protocol.GroupReplica) {
	var removed []protocol.GroupReplica
	for _, query := range queries {
		group := c.host.FindGroup(storage.GroupID(query.Group))
		if group != nil && group.Node.HasLeft(query.Replica) {
			removed = append(removed, query)
		}
	}
	if len(removed) > 0 {
		c.transport.Send(from, c.newBatch(protocol.PeerBatch{RemovedReplicas: removed}))
	}
}

// handleRemovedReplicas stops hosting the groups that have removed the replica of this host, unless they are placed
// here again. The data stays on disk.
func (c *Core) handleRemovedReplicas(removed []protocol.GroupReplica) error {
	for _, left := range removed {
		id := storage.GroupID(left.Group)
		group := c.host.FindGroup(id)
		if group == nil || left.Replica != c.storage.Replica() || group.Node.Leader() != consensus.None || c.fleetView == nil {
			continue
		}
		if isPlacedAt(c.fleetView.Groups[left.Group], c.options.Member) {
			continue
		}
		if err := c.storage.PutMetadata(leftGroupKey(id), leftGroup); err != nil {
			return err
		}
		c.stopHosting(id)
	}
	return nil
}

// holdsReplica reports whether the disk holds a replica of a group that has not removed it. It looks once for each
// group: later replicas are hosted already.
func (c *Core) holdsReplica(id storage.GroupID) (bool, error) {
	if c.isDiskChecked[id] {
		return false, nil
	}
	c.isDiskChecked[id] = true
	hasLeft, err := c.storage.GetMetadata(leftGroupKey(id))
	if err != nil || bytes.Equal(hasLeft, leftGroup) {
		return false, err
	}
	persisted, err := c.storage.Load(id)
	return persisted.Snapshot.Index > 0 || len(persisted.Entries) > 0, err
}

// recordReturn records that a group that had removed the replica of this disk is placed here again.
func (c *Core) recordReturn(id storage.GroupID) error {
	c.isDiskChecked[id] = true
	hasLeft, err := c.storage.GetMetadata(leftGroupKey(id))
	if err != nil || !bytes.Equal(hasLeft, leftGroup) {
		return err
	}
	return c.storage.PutMetadata(leftGroupKey(id), nil)
}
