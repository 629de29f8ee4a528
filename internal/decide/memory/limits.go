package memory

import "time"

const (
	// baseProcessBytes is what a process without callers needs.
	baseProcessBytes = 28 << 20
	// ConnectionBytes is what one connection costs: the goroutines and buffers of the
	// caller and of the server that answers it, a head of up to 12 KiB, and
	// ReceiveBytes.
	ConnectionBytes = 40<<10 + ReceiveBytes
	// ReceiveBytes is the receive buffer of the socket of a caller. With 64 KiB, a body
	// arrives at 10 Mbit/s over a round trip of up to 50 ms.
	ReceiveBytes = 64 << 10
	// connectionShare is the share of the memory beyond baseProcessBytes for connections,
	// byteShare that for what they hold. The rest is for garbage of the heap, servers
	// and messages of other processes.
	connectionShare = 0.4
	byteShare       = 0.3
	// minConnections and minBytes are the least of both.
	minConnections = 16
	minBytes       = 8 << 20
	// descriptorShare is the share of the descriptors for connections of callers. Each
	// of them may need another one to a server.
	descriptorShare = 0.3
)

const (
	// SmallBytes is what a request may hold that counts as small. Larger ones leave
	// 1/smallShare of the bytes to small ones.
	SmallBytes = 64 << 10
	smallShare = 4
	// workspaceShare is the part of the bytes that one workspace may hold, 1/2, unless
	// 1/calmShare of all is free.
	workspaceShare = 2
	calmShare      = 4
	// stallTime is the time without progress after which a connection gives way to
	// others. A caller within the limits makes progress several times in it.
	stallTime = time.Second
	// unreadTime is the same for an answer of which the caller reads nothing. A kernel may
	// ask for the next 64 KiB only when all of it was read.
	unreadTime = 3 * time.Second
	// newTime is how long a new connection may be without a request before it gives
	// way.
	newTime = 100 * time.Millisecond
	// keptTime is how long a connection may be idle after a request before it gives way.
	keptTime = 2 * time.Second
)

// Limits bound what callers hold.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the sum of what connections hold beyond ConnectionBytes each.
	Bytes int64
	// BodyGrace and BodyRate, in bytes per second, are the least progress of a body: it
	// may take BodyGrace and its size divided by BodyRate. AnswerStall is how long the
	// kernel of a caller may take nothing of an answer that waits. Zero sets no bound.
	BodyGrace   time.Duration
	BodyRate    int64
	AnswerStall time.Duration
}

// LimitsFor returns the limits of a process with the given memory, in bytes, and
// descriptors. It leaves the bounds on progress zero.
func LimitsFor(process int64, descriptors int) Limits {
	free := float64(max(process-baseProcessBytes, 0))
	connections := min(connectionShare*free/ConnectionBytes, descriptorShare*float64(descriptors))
	return Limits{Connections: max(int(connections), minConnections), Bytes: max(int64(byteShare*free), minBytes)}
}
