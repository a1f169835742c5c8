package fleet

import "time"

// Limits of the control plane. The timing that the design page fixes is in
// package view.
const (
	// readWait is the longest time that the service holds a reader's watch. The
	// design page allows 1 s. A shorter watch leaves more of
	// view.ConfirmMaxAge for the confirmation to spread through peers.
	readWait = 500 * time.Millisecond
	// readMinGap is the shortest time between two reads of one reader. It
	// limits the load if the service answers a watch at once.
	readMinGap = 100 * time.Millisecond
	// readBackoffMin and readBackoffMax bound the backoff before jitter. It
	// applies after a failed read, and between the reads of an instance that is
	// not a reader and whose confirmation has lapsed.
	readBackoffMin = time.Second
	readBackoffMax = 8 * time.Second
	// minReaders is the smallest number of instances that read the
	// configuration service. It is also the base for the number of peers that a
	// starting or resumed instance contacts and waits for.
	minReaders = 3
	// announceAllMax is the number of instances in the largest fleet in which a
	// change is announced to all peers at once. In a larger fleet, this many
	// instances on average tell a suspected member of the suspicion.
	announceAllMax = 16
	// fetchTimeout is the time after which a set may be fetched again. It
	// doubles with each fetch, up to fetchTimeoutMax. Otherwise a set that this
	// instance refuses (up to 1 MB) would be transferred twice a second.
	fetchTimeout    = 500 * time.Millisecond
	fetchTimeoutMax = 8 * time.Second
	// firstAnswerWait bounds the wait for further peers of a starting instance
	// whose set is confirmed by the configuration service and that at least one,
	// but fewer than minReaders peers have answered. The service may be stale
	// while a peer already holds a later set.
	firstAnswerWait = time.Second
	// pollBatchSize is the number of peers that an instance asks in each
	// exchange interval while it needs answers from a majority: 510 members are
	// asked within 1.6 s.
	pollBatchSize = 64
	// listLag is the longest time for which the instance list of a peer is
	// expected to lack a new instance. Until then, an instance that gets no answer
	// from any peer, or from a former lead, assumes that they do not know its
	// address yet.
	listLag = 5 * time.Second
	// pollDelay is the time for which a starting or resumed instance, in a fleet
	// of more than announceAllMax, waits for the service or a confirmed peer
	// before it asks many peers.
	pollDelay = time.Second
	// maxSeenEntries is the number of origins, besides the receiver, in the
	// version vector of one exchange. A vector of 510 origins in each exchange
	// would exceed the 24 KB/s that the control plane may use.
	maxSeenEntries = 32
	// maxMemberPushes and maxTargetPushes bound the changes that are pushed in
	// one message. maxTargetsReply bounds the target states in one reply that
	// answer the entries of a version vector.
	maxMemberPushes = 96
	maxTargetPushes = 16
	maxTargetsReply = 512
	// indirectPingPeers is the number of peers that are asked to ping a silent
	// member.
	indirectPingPeers = 2
	// learnTimeout is the longest time that a new instance reports not ready to
	// the balancer because it does not know the states of all targets. A
	// full exchange of 2,300 targets takes five rounds of 200 ms; a target that
	// is down is published as down after two probes.
	learnTimeout = 3 * time.Second
	// probeTimeout is the time after which another probe is sent although the
	// last one has not been answered.
	probeTimeout = 2 * time.Second
	// failedProbesDown is the number of consecutive failed probes after which a
	// target is published as down.
	failedProbesDown = 2
	// reacquireAfter is the shortest suspension after which this instance waits
	// for a handover of the targets that it leads. Another instance can take
	// over after 300 ms (ping) + 300 ms (indirect ping) + 1 s (suspicion) + 1 s
	// (handover timeout) at the earliest; the margin covers ticks and links.
	reacquireAfter = 2 * time.Second
	// maxClockSkew is the largest difference between the advances of the Boot
	// and the Mono clock that does not count as a suspension. Small differences
	// arise because the clocks are read one after the other.
	maxClockSkew = 100 * time.Millisecond
	// unheardAfter is the time without any reply after which an instance that
	// still receives requests concludes that its own messages are lost. It is
	// shorter than the time that peers need to exclude the instance and to take
	// over its leads.
	unheardAfter = 1500 * time.Millisecond
	// releaseRetention is the time for which a lead release is kept if it
	// arrives before this instance knows that it is the new lead.
	releaseRetention = 2 * time.Second
	// minWarmPercent is the percentage of the targets of a returning place that
	// must be warm before the next place is admitted.
	minWarmPercent = 80
)
