package program

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChainDigest extends the digest of a conversation by messages. The chain after
// n messages depends on all n of them and their order.
func ChainDigest(digest uint64, messages ...Message) uint64 {
	for _, message := range messages {
		hash := xxhash.New()
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, digest))
		for _, part := range []string{message.Role, message.Name, message.Content} {
			_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
			_, _ = hash.WriteString(part)
		}
		digest = hash.Sum64()
	}
	return digest
}

// PrefixDigests returns the chain digest after 0, 1, ... n messages.
func PrefixDigests(messages []Message) []uint64 {
	digests := make([]uint64, 1, len(messages)+1)
	for _, message := range messages {
		digests = append(digests, ChainDigest(digests[len(digests)-1], message))
	}
	return digests
}

// ContentDigest identifies the content of one call, so that a request id that
// is used again with other content is seen.
func ContentDigest(service, thread string, messages []Message) uint64 {
	identity := ChainDigest(0, Message{Role: service, Content: thread})
	return ChainDigest(identity, messages...)
}

// IncludesHistory reports whether messages hold an answer of a model, which
// means that the caller sent its conversation whole and not just what is new.
func IncludesHistory(messages []Message) bool {
	for _, message := range messages {
		if message.Role == "assistant" {
			return true
		}
	}
	return false
}

// Conversation joins the records of a thread in turn order.
func Conversation(lineage []ThreadPrefix, records []TurnRecord) []Message {
	var messages []Message
	for _, record := range records {
		if record.Code != 0 || !inLineage(lineage, record) {
			continue
		}
		messages = append(messages, record.Messages...)
		messages = append(messages, record.Answer)
	}
	return messages
}

func inLineage(lineage []ThreadPrefix, record TurnRecord) bool {
	for _, span := range lineage {
		if span.Thread == record.Thread && record.Turn <= span.Last {
			return true
		}
	}
	return false
}

// GroupOf returns the ledger group, 1 to groups, that a program belongs to.
func GroupOf(id string, groups uint32) uint32 {
	return uint32(xxhash.Sum64String(id)%uint64(groups)) + 1
}
