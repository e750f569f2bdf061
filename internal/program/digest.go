package program

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChainDigest extends the digest of a conversation by messages. The digest after n messages
// depends on all n of them and on their order.
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

// PrefixDigests returns the chain digests after 0, 1, ... n messages.
func PrefixDigests(messages []Message) []uint64 {
	digests := make([]uint64, 1, len(messages)+1)
	for _, message := range messages {
		digests = append(digests, ChainDigest(digests[len(digests)-1], message))
	}
	return digests
}

// ContentDigest identifies the content of one call, so that the reuse of a request id with
// different content is detected.
func ContentDigest(service, thread string, messages []Message) uint64 {
	identity := ChainDigest(0, Message{Role: service, Content: thread})
	return ChainDigest(identity, messages...)
}

// IncludesHistory reports whether messages contain an answer of the model, which means that
// the caller sent its full conversation and not only the new messages.
func IncludesHistory(messages []Message) bool {
	for _, message := range messages {
		if message.Role == "assistant" {
			return true
		}
	}
	return false
}

// Conversation concatenates the messages and answers of the records in a thread's lineage. It
// skips records without an answer. The records must be in turn order.
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
	for _, prefix := range lineage {
		if prefix.Thread == record.Thread && record.Turn <= prefix.Last {
			return true
		}
	}
	return false
}

// GroupOf returns the ledger group of a program, from 1 to groups.
func GroupOf(id string, groups uint32) uint32 {
	return uint32(xxhash.Sum64String(id)%uint64(groups)) + 1
}
