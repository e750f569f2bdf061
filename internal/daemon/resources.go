package daemon

import (
	"syscall"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/listener"
)

// maxReservedDescriptors is how many descriptors a process keeps for files outside its data folder, at most half of
// all it may open.
const maxReservedDescriptors = 200

// ConnectionShare is the part of a process's resources that the connections to one of its addresses may use. The
// shares of a process leave descriptors for its connections to engines and peers and for its data files.
type ConnectionShare struct {
	// DescriptorSixteenths is the part of the descriptors, in sixteenths.
	DescriptorSixteenths int
	// MemoryDivisor bounds the connections besides: together they weigh at most the memory limit divided by it. 0
	// for no bound.
	MemoryDivisor int64
}

// The shares of the addresses of each role.
var (
	CallersShare    = ConnectionShare{DescriptorSixteenths: 8, MemoryDivisor: 3}
	OperatorsShare  = ConnectionShare{DescriptorSixteenths: 4, MemoryDivisor: 8}
	DirectoryShare  = ConnectionShare{DescriptorSixteenths: 2, MemoryDivisor: 16}
	MonitoringShare = ConnectionShare{DescriptorSixteenths: 1, MemoryDivisor: 32}
	ReadinessShare  = ConnectionShare{DescriptorSixteenths: 1, MemoryDivisor: 32}
	PeersShare      = ConnectionShare{DescriptorSixteenths: 5}
)

// MaxConnections returns how many connections to an address with the given share a process may hold.
func MaxConnections(limits config.Limits, share ConnectionShare) int {
	return maxConnections(descriptorLimit(limits), limits.MemoryBytes(), share)
}

// maxConnections is MaxConnections for a number of descriptors and a memory limit in bytes, 0 for none.
func maxConnections(descriptors int, memoryBytes int64, share ConnectionShare) int {
	usable := descriptors - min(maxReservedDescriptors, descriptors/2)
	connections := usable * share.DescriptorSixteenths / 16
	if memoryBytes > 0 && share.MemoryDivisor > 0 {
		connections = min(connections, int(memoryBytes/share.MemoryDivisor/listener.ConnectionMemoryBytes))
	}
	return connections
}

// descriptorLimit returns how many descriptors the process may open: the limit of its settings or that of the kernel,
// whichever is lower.
func descriptorLimit(limits config.Limits) int {
	const unlimited = 1 << 20
	allowed := unlimited
	var kernelLimit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &kernelLimit) == nil && kernelLimit.Cur < unlimited {
		allowed = int(kernelLimit.Cur)
	}
	if limits.Descriptors > 0 {
		allowed = min(allowed, limits.Descriptors)
	}
	return allowed
}
