package protocol

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// frameTimeout bounds how long a peer may send nothing within a frame that is longer than maxPreallocatedBytes,
	// and firstFrameTimeout how long it may take to send its first frame.
	frameTimeout      = 10 * time.Second
	firstFrameTimeout = 10 * time.Second
	// frameHeaderBytes is the length of the longest header of a frame without its length: call, kind and last.
	frameHeaderBytes = binary.MaxVarintLen64 + 2
	minMemoryBytes   = 1 << 20
)

// FrameMemory bounds the memory of the frames longer than maxPreallocatedBytes that a server has read and that are
// still being handled. A frame for which there is no memory is not read until there is. A frame longer than the bound
// is read while no other one is held.
//
// Replicas wait for each other's messages before they reply to requests, so that messages between them have memory
// of their own: otherwise two servers could wait for each other.
type FrameMemory struct {
	requests, peers *semaphore.Weighted
	bytes           int64
}

// NewFrameMemory returns memory of the given number of bytes for requests, and as much for messages of peers.
func NewFrameMemory(bytes int64) *FrameMemory {
	bytes = max(bytes, minMemoryBytes)
	return &FrameMemory{requests: semaphore.NewWeighted(bytes), peers: semaphore.NewWeighted(bytes), bytes: bytes}
}

// frameMemory is what one frame holds.
type frameMemory struct {
	pool       *semaphore.Weighted
	bytes      int64
	isRetained bool
}

func (m *frameMemory) release() { m.pool.Release(m.bytes) }

// acquire waits until there is memory for a frame of the given kind and size.
func (m *FrameMemory) acquire(ctx context.Context, kind Kind, size uint32) (*frameMemory, error) {
	pool := m.requests
	if kind == KindPeer {
		pool = m.peers
	}
	held := &frameMemory{pool: pool, bytes: min(int64(size), m.bytes)}
	return held, pool.Acquire(ctx, held.bytes)
}

// frameReader reads the frames of one connection within the memory for frames.
type frameReader struct {
	socket net.Conn
	reader *bufio.Reader
	// memory is nil for no bound.
	memory *FrameMemory
	// ctx ends with the connection.
	ctx context.Context
}

// next reads the next frame.
func (r *frameReader) next() (Frame, error) {
	size, err := readFrameLength(r.reader)
	if err != nil {
		return Frame{}, err
	}
	if r.memory == nil || size <= maxPreallocatedBytes {
		return readFrameBody(r.reader, size)
	}
	return r.nextLarge(size)
}

// nextLarge reads a frame that holds memory for frames, once there is memory for it.
func (r *frameReader) nextLarge(size uint32) (Frame, error) {
	_ = r.socket.SetReadDeadline(time.Now().Add(frameTimeout))
	header, err := r.reader.Peek(frameHeaderBytes)
	if err != nil {
		return Frame{}, err
	}
	announced, err := ParseFrame(header)
	if err != nil {
		return Frame{}, err
	}
	held, err := r.memory.acquire(r.ctx, announced.Kind, size)
	if err != nil {
		return Frame{}, err
	}
	frame, err := readFrameBody(&steadyReader{socket: r.socket, reader: r.reader}, size)
	_ = r.socket.SetReadDeadline(time.Time{})
	if err != nil {
		held.release()
		return Frame{}, err
	}
	frame.memory = held
	return frame, nil
}

// steadyReader fails once nothing has arrived for frameTimeout.
type steadyReader struct {
	socket net.Conn
	reader *bufio.Reader
}

// Read implements io.Reader.
func (r *steadyReader) Read(into []byte) (int, error) {
	_ = r.socket.SetReadDeadline(time.Now().Add(frameTimeout))
	return r.reader.Read(into)
}
