package scheduler

import "github.com/grebedock/grebedock/access"

const (
	// confirmAgeDivisor is the divisor of the request timeout that gives the age from which an
	// observation is late: a multiple of the time in which the state service usually responds.
	confirmAgeDivisor = 40
	// maxAgeDivisor is the divisor of the request timeout that gives the maximum age of an
	// observation in a response.
	maxAgeDivisor = 20
	// writeLatencySamples is the number of recent writes of which the fastest counts. The lease
	// is renewed often enough that slow writes leave the samples soon.
	writeLatencySamples = 8
)

// responseAgeLimits are the maximum ages of an observation in a response to a user.
type responseAgeLimits struct {
	confirmMS int64 // an older observation is late and is repeated, if it can be
	maxMS     int64 // an older observation is not used
}

// newResponseAgeLimits returns the limits for a service whose fastest recent write took
// fastestWriteMS. Another member reports a write to a user only after the service's answer,
// so an observation may be older by that time if the service is slow for every member.
func newResponseAgeLimits(fastestWriteMS int64) responseAgeLimits {
	timeoutMS := access.RequestTimeout.Milliseconds()
	return responseAgeLimits{
		confirmMS: fastestWriteMS + timeoutMS/confirmAgeDivisor,
		maxMS:     fastestWriteMS + timeoutMS/maxAgeDivisor,
	}
}

// recentWrites keeps the latencies of a member's last writes to the state service, including
// renewals of its lease.
type recentWrites struct {
	latenciesMS [writeLatencySamples]int64
	count       int // number of writes observed
}

// observe adds the latency of a write.
func (w *recentWrites) observe(latencyMS int64) {
	w.latenciesMS[w.count%writeLatencySamples] = latencyMS
	w.count++
}

// fastestMS returns the latency of the fastest recent write, or 0 if there are too few.
func (w *recentWrites) fastestMS() int64 {
	if w.count < writeLatencySamples {
		return 0
	}
	fastest := w.latenciesMS[0]
	for _, latencyMS := range w.latenciesMS {
		fastest = min(fastest, latencyMS)
	}
	return fastest
}

// fastestWriteOfMembersMS returns the latency of the fastest recent write of this member and
// of the peers that it has recent messages from. It is 0 if not known: without a message of
// any peer, the state service may be slow for this member alone.
func (pt *peerTable) fastestWriteOfMembersMS() int64 {
	fastest, isIsolated := pt.store.recentWrites.fastestMS(), len(pt.params.PeerIDs) > 0
	for memberID, peer := range pt.peers {
		if memberID != pt.params.MemberID && pt.isFresh(peer) {
			fastest = min(fastest, peer.message.FastestWriteMS)
			isIsolated = false
		}
	}
	if isIsolated {
		return 0
	}
	return fastest
}
