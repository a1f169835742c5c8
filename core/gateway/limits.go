package gateway

import "time"

// The limits of the gateway that are not settings.
const (
	// answerReserve is the time before a caller's deadline at which the request
	// is answered: one way to the caller (3 ms) and the write, three times over.
	answerReserve = 20 * time.Millisecond
	// answerReserveShare bounds answerReserve for short deadlines.
	answerReserveShare = 0.2
	// objectiveReserve is the part of a route's latency objective that passes
	// outside the instance: the caller's connect and its request, both ways (3 ms
	// each), and the delay of timers and writes on a fraction of a core.
	objectiveReserve = 20 * time.Millisecond
	// minSendTime is the least time left in which an attempt can succeed: two
	// ways between data centres (4.5 ms each).
	minAttemptTime = 10 * time.Millisecond
	// abandonAfter bounds an attempt that lost against a hedge. It is well above
	// the longest pause of a target (250 ms), so that the connection survives.
	abandonAfter = time.Second

	// localRoundTrip and remoteRoundTrip are the assumed network times to a target
	// in the own and in another data centre before a connect has shown them: twice
	// 0.1 ms and twice 4.5 ms.
	localRoundTrip  = 200 * time.Microsecond
	remoteRoundTrip = 9 * time.Millisecond
	// longerWayWeight is the weight of a connect that took longer than the shortest
	// known one: a way that has become longer is known after some hundred connects.
	longerRoundTripWeight = 0.01

	// defaultWork is the assumed time of a request at a target before any was
	// observed: the mean of the shard services in the brief (3.8 to 28 ms).
	defaultServiceTime = 12 * time.Millisecond
	// hedgeBudgetShare is the part of the retry budget that hedges aim to use in
	// steady state; the rest is for targets that fail or slow down. minHedged and
	// maxHedged bound the share of the requests that are hedged: at least those
	// that meet a pause (4 %) or a straggler (1 %), at most what pays for its bytes.
	hedgeBudgetShare = 0.5
	minHedgedShare   = 0.05
	maxHedgedShare   = 0.2
	// hedgeWait is the part of the time in which a hedge would still be answered
	// within the objective that passes before it is sent. Most late parts come in
	// that time, and each hedge crosses data centres.
	hedgeWaitShare = 0.5
	// nearShare is the part of the time left until the objective within which a
	// target of the own data centre is good enough, whatever the others offer. It
	// leaves time for a hedge.
	localObjectiveShare = 0.35
	// nearSlowness is the slowness from which a target of the own data centre is
	// no longer preferred.
	maxLocalSlowness = 2.5
	// minHedgeDelay keeps hedges above the scheduling delay of a small instance.
	minHedgeDelay = 8 * time.Millisecond
	// hedgeReserve is the share of the retry budget that hedges leave to retries
	// of failed attempts.
	retryReserveShare = 0.2

	// slowSmoothing is the weight of a new sample in a target's slowness.
	slownessSmoothing = 0.3
	// slowForget is the time constant with which an unobserved slowness returns
	// to 1. It bounds how long a recovered target is avoided.
	slownessDecay = 3 * time.Second
	// maxSlowness bounds the slowness of a target.
	maxSlowness = 40
	// loadForget is the time constant with which a load report loses weight:
	// a few service times of a shard.
	loadDecay = 60 * time.Millisecond
	// failurePenalty is added to the estimate of a target that fails all its
	// requests, in proportion for fewer.
	failurePenalty = 250 * time.Millisecond
	// failureSmoothing is the weight of a new sample in a target's failure rate.
	failureSmoothing = 0.25
	// failureForget is the time constant with which a failure rate returns to 0.
	failureDecay = 4 * time.Second
	// coldPenalty multiplies the expected work of a cold target.
	coldFactor = 1.6

	// downAfter is the number of consecutive failures after which a target is
	// tried only at intervals that grow from downMin to downMax.
	downAfterFailures = 3
	minDownBackoff    = 250 * time.Millisecond
	maxDownBackoff    = 2 * time.Second
	// silentAfter is the time without any answer after which a target counts as
	// down: above the longest pause of a target (250 ms).
	silentAfter = 400 * time.Millisecond

	// connectionShare is the part of a target's connections that all instances
	// use together; the rest covers instances that are not known yet, health
	// checks, and connections that are being replaced.
	connectionShare = 0.85
	// minInstances is the least fleet that shares are computed for: instances may
	// not agree on who is there.
	minInstances = 4
	// startInstances is the least fleet right after the start.
	minInstancesAtStart = 10
	// fleetMemory is how long the largest known fleet counts for shares.
	fleetPeakWindow = 15 * time.Second

	// budgetSafety is the part of the retry budget that is used; the rest covers
	// differences between the windows of the instances and of the targets.
	budgetSafetyFactor = 0.85
	// budgetBuckets divides the window of the retry budget.
	budgetBuckets = 20

	// refusedRetryAfter is the shortest delay told to a caller that was refused.
	refusedRetryAfter = 50 * time.Millisecond
	// startRetryAfter is the shortest delay told to a caller while no configuration
	// is known: the time between two reads of a store that does not answer yet.
	startRetryAfter = 300 * time.Millisecond
	// queueShare is the part of the latency objective for which a plain request
	// waits for a free target before it is refused.
	queueShare = 0.25

	// lapseGrace is the time after the return of the store for which a target
	// whose entry was removed during the outage is still used: entries of live
	// targets are back within about 2 s.
	lapseGrace = 2200 * time.Millisecond
	// sourceBehindAfter is how long another instance may know a later state of the
	// store before this one asks it. The usual way takes less than half of it.
	sourceBehindAfter = 800 * time.Millisecond
	// allReadersBelow is the largest fleet in which every instance reads the store
	// itself. Each call is priced, and waits for others cost time.
	maxAllReadersFleet = 12
	// storeWatch is the longest watch of the store. A watch may hear nothing of a
	// change, and only its end shows that history is gone; a configuration is to be
	// in force everywhere within 3 s.
	maxStoreWatch = 1500 * time.Millisecond
	// minReaders and membersPerReader give the number of readers in larger fleets:
	// two may fail at once, and one serves the others with a message a second
	// each.
	minReaders       = 3
	membersPerReader = 64
	// sourceRetryAfter is how long a reader that failed is passed over.
	sourceRetryAfter = 3 * time.Second
	// probeInterval is the time after which the next instances try a store that
	// does not answer the readers, with watches of probeWatch: an answer shows
	// within a connect and a watch.
	storeProbeInterval = time.Second
	maxStoreProbeWatch = 300 * time.Millisecond
	// probeHold is how long an instance that was answered goes on reading, so that
	// the others hear of it: news of an instance takes some rounds of messages.
	storeProbeHold = 5 * time.Second
	// sourceStartDelay is the time after the start in which members get known
	// before an instance decides whether to read the store itself.
	sourceStartDelay = 1500 * time.Millisecond

	// gathererCapacity is the least capacity of a gathering instance, as a share
	// of the largest in the fleet, and gathererShards the least share of a route's
	// shards with a target in its data centre, as a share of the most.
	minGathererCapacityShare = 0.5
	minGathererShardShare    = 0.5
	// gathererAvoid is how long an instance that failed to gather is passed over.
	gathererAvoidTime = 2 * time.Second
	// behindRetry is how long an instance that lacks the configuration in force is
	// not asked: a configuration passes from one instance to the next in less.
	behindRetryDelay = 200 * time.Millisecond
	// delegateProbeShare is the share of the time until the latency objective
	// after which a gathering instance that has not answered is asked whether it
	// lives. It is asked twice, delegateProbeGap apart, as datagrams get lost.
	delegateProbeShare = 0.5
	delegateProbeGap   = 40 * time.Millisecond

	// gossipInterval is the time between two rounds of state messages. Each
	// message of about 700 bytes is answered, so that the control traffic of an
	// instance is about 3 KB/s in a fleet of any size.
	gossipInterval = time.Second
	// startGossipInterval is used right after the start, so that the fleet is known
	// before the instance decides whether to read the store itself.
	startGossipInterval = 200 * time.Millisecond
	// searchInterval is used for searchTime after the start, or until a gathering
	// instance is known: requests that come before are gathered by instances too
	// small for it. It is some round trips between data centres.
	gathererSearchInterval = 60 * time.Millisecond
	gathererSearchTime     = 300 * time.Millisecond
	// gossipNear is the share of the rounds that stay in the own data centre.
	gossipLocalShare = 0.75
	// gossipStrong and gossipOthers bound the members named in one message that
	// gather, and the rest.
	maxGossipGatherers = 10
	maxGossipOthers    = 3
	// memberLostAfter and memberForgetAfter bound the silence of a member before
	// it no longer counts as alive, and before it is dropped. News of a member is
	// everywhere after about log2(instances) rounds.
	memberLostAfter   = 8 * time.Second
	memberForgetAfter = 30 * time.Second

	// drainReadyDelay is the time for which a stopping instance still accepts new
	// connections: two missed readiness checks of the balancer, 1 s apart.
	drainReadyDelay = 2300 * time.Millisecond
	// drainReserve is the part of the stop time left for the last answers.
	drainReserve = 700 * time.Millisecond
)
