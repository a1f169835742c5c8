package fleet

import "time"

// The limits of the control plane that are not part of the design page's
// timing (see package view).
const (
	// readWait is the watch of a reader. The page allows up to 1 s; half of it
	// leaves the other half of view.ConfirmMaxAge for the way through peers.
	readWait = 500 * time.Millisecond
	// readMinGap bounds the reads of one reader if the service answers a watch
	// at once.
	readMinGap = 100 * time.Millisecond
	// readBackoffMin and readBackoffMax bound the delay after a failed read
	// and between the reads of an instance that peers do not confirm.
	readBackoffMin = time.Second
	readBackoffMax = 8 * time.Second
	// minReaders is the smallest number of readers.
	minReaders = 3
	// announceAllBelow is the largest fleet in which a new set is announced
	// to all peers.
	announceAllMax = 16
	// fetchTimeout is the time after which a set is requested again. It
	// doubles up to fetchTimeoutMax, because a set that this instance refuses
	// would otherwise be transferred (1 MB) twice a second.
	fetchTimeout    = 500 * time.Millisecond
	fetchTimeoutMax = 8 * time.Second
	// peerFirstWait is the time that a starting instance waits for the first
	// answer of a peer although the configuration service has answered. The
	// service may be stale, and peers then hold a newer set.
	firstAnswerWait = time.Second
	// sweepSize is the number of peers that an instance asks in each exchange
	// interval while it needs the answers of a majority: 510 members are
	// asked within 1.6 s.
	pollBatchSize = 64
	// listLag is the time for which the instance list of a peer is expected to
	// lack a new instance. Until then the silence of all peers, or of a former
	// lead, is taken as a sign that they do not know the address of this
	// instance yet.
	listLag = 5 * time.Second
	// sweepDelay is the time that an instance of a large fleet waits for the
	// service or a confirmed peer before it asks many peers.
	pollDelay = time.Second
	// seenChunk is the number of origins in the version vector of one
	// exchange. A vector of 510 origins in each exchange would exceed the
	// 24 KB/s that the control plane may use.
	maxSeenEntries = 32
	// maxMemberRumors and maxTargetRumors bound the changes that are pushed in
	// one message; maxTargetsReply bounds the target states of one reply.
	maxMemberPushes = 96
	maxTargetPushes = 16
	maxTargetsReply = 512
	// helpers is the number of peers that are asked to ping a silent member.
	indirectPingPeers = 2
	// learnWait bounds the time for which a new instance stays out of the
	// balancer until it knows the states of all targets. A full exchange of
	// 2,300 targets takes five rounds of 200 ms; a target that is down is
	// published as such after two probes.
	learnTimeout = 3 * time.Second
	// probeLost is the time after which an unanswered probe is given up.
	probeTimeout = 2 * time.Second
	// probeFailures is the number of failed probes in a row after which a
	// target is published as down.
	failedProbesDown = 2
	// reacquireGap is the shortest suspension after which this instance waits
	// for a handover of its own leads. Another instance can have taken over
	// after 300 ms + 300 ms + 1 s + 1 s; the margin covers ticks and links.
	reacquireAfter = 2 * time.Second
	// clockSkew is the difference between the advances of the two clocks that
	// counts as a suspension. Smaller ones come from reading them in turn.
	maxClockSkew = 100 * time.Millisecond
	// muteAfter is the time without any answer after which an instance that
	// still hears others concludes that they do not hear it. It is shorter
	// than the time in which they can exclude it and take over.
	unheardAfter = 1500 * time.Millisecond
	// releaseMemory is the time for which a lead release is kept that arrives
	// before this instance knows that it leads.
	releaseRetention = 2 * time.Second
	// gatePart is the share of the targets of a returning place that must be
	// warm before the next place gets work, in percent.
	minWarmPercent = 80
)
