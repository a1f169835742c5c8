package gateway

import "time"

// Constants of the gateway that are not settings.
const (
	// answerReserve is how long before the end of the caller's time or of the route's
	// timeout a request is answered at the latest: three times the sum of one way to
	// the caller (3 ms) and the write.
	answerReserve = 20 * time.Millisecond
	// answerReserveShare bounds that reserve where the caller's time or the route's
	// timeout is short, as a share of the shorter of them.
	answerReserveShare = 0.2
	// objectiveReserve is the part of a route's latency objective that is spent
	// outside the instance: the round trips of the caller's connect and request (3 ms
	// each way), and the delay of timers and writes on a fraction of a core.
	objectiveReserve = 20 * time.Millisecond
	// minAttemptTime is the minimum time left for which an attempt is sent: a round
	// trip between data centres (4.5 ms each way).
	minAttemptTime = 10 * time.Millisecond
	// abandonAfter is how long attempts in flight may continue after their request
	// was answered. It is well above the longest pause of a target (250 ms), so that
	// an attempt that lost against a hedge ends and its connection survives.
	abandonAfter = time.Second

	// localRoundTrip and remoteRoundTrip are the assumed network round-trip times to
	// a target in the own and in another data centre until a connect was measured:
	// 0.1 ms and 4.5 ms each way.
	localRoundTrip  = 200 * time.Microsecond
	remoteRoundTrip = 9 * time.Millisecond
	// longerRoundTripWeight is the weight of a connect that took longer than the known
	// round trip: an increase is followed after some hundred connects.
	longerRoundTripWeight = 0.01

	// defaultServiceTime is the assumed time that a target takes for a request before
	// enough were observed: the mean of the users' shard services (3.8 to 28 ms).
	defaultServiceTime = 12 * time.Millisecond
	// hedgeBudgetShare is the share of the retry budget that hedges aim to use in
	// steady state; the rest is for targets that fail or slow down. minHedgedShare and
	// maxHedgedShare bound the share of the requests that are hedged. The minimum
	// covers requests that meet a pause (4 %) or a straggler (1 %); above the maximum,
	// hedges are not worth their bytes.
	hedgeBudgetShare = 0.5
	minHedgedShare   = 0.05
	maxHedgedShare   = 0.2
	// hedgeWaitShare is the minimum delay of a hedge, as a share of the longest delay
	// after which the hedge would still be answered within the objective. Most late
	// parts are answered in that time, and each hedge crosses data centres.
	hedgeWaitShare = 0.5
	// localObjectiveShare is the share of the time left until the objective within
	// which a target of the own data centre is preferred to all others. The rest
	// leaves time for a hedge.
	localObjectiveShare = 0.35
	// maxLocalSlowness is the slowness from which a target of the own data centre is
	// no longer preferred.
	maxLocalSlowness = 2.5
	// minHedgeDelay keeps the hedge delay above the scheduling delay of a small
	// instance.
	minHedgeDelay = 8 * time.Millisecond
	// retryReserveShare is the share of the retry budget that hedges leave for retries
	// of failed attempts.
	retryReserveShare = 0.2

	// slownessSmoothing is the weight of a new sample in a target's slowness.
	slownessSmoothing = 0.3
	// slownessDecay is the time constant with which a slowness without new samples
	// returns to 1. It bounds how long a recovered target is avoided.
	slownessDecay = 3 * time.Second
	// maxSlowness bounds the slowness of a target.
	maxSlowness = 40
	// loadDecay is the time constant with which a load report loses weight: a few
	// service times of a shard.
	loadDecay = 60 * time.Millisecond
	// failurePenalty is added to the estimated answer time of a target, in proportion
	// to its failure rate.
	failurePenalty = 250 * time.Millisecond
	// failureSmoothing is the weight of a new sample in a target's failure rate.
	failureSmoothing = 0.25
	// failureDecay is the time constant with which a failure rate without new samples
	// returns to 0.
	failureDecay = 4 * time.Second
	// coldFactor multiplies the expected service time of a cold target.
	coldFactor = 1.6

	// downAfterFailures is the number of consecutive failures after which a target is
	// tried only at intervals that double from minDownBackoff to maxDownBackoff.
	downAfterFailures = 3
	minDownBackoff    = 250 * time.Millisecond
	maxDownBackoff    = 2 * time.Second
	// silentAfter is the minimum time without an answer for which an attempt that times
	// out marks its target as down. It is above the longest pause of a target (250 ms).
	silentAfter = 400 * time.Millisecond

	// connectionShare is the share of a target's connections that all instances use
	// together. The rest covers unknown instances, health checks, and connections that
	// are being replaced.
	connectionShare = 0.85
	// minInstances is the minimum fleet size for which shares are computed, as
	// instances may not agree on the members.
	minInstances = 4
	// minInstancesAtStart replaces minInstances during sourceStartDelay.
	minInstancesAtStart = 10
	// fleetPeakWindow is how long the largest known fleet counts for shares.
	fleetPeakWindow = 15 * time.Second

	// maxPause bounds the time for which a target is sent nothing because it asked for that, so
	// that a faulty value does not exclude it for good.
	maxPause = 10 * time.Minute

	// minRateLimit replaces a smaller rate limit of a target, in requests per second, so that
	// the end of the limit is noticed.
	minRateLimit = 0.25
	// rateLimitBurst is the time whose share of a rate limit an instance may use at once.
	rateLimitBurst = time.Second

	// budgetSafetyFactor is the share of the retry budget that is used. The rest
	// covers differences between the windows of the instances and of the targets.
	budgetSafetyFactor = 0.85
	// budgetBuckets is the number of buckets in the window of the retry budget.
	budgetBuckets = 20

	// refusedRetryAfter is the minimum Retry-After of a refusal on the most urgent
	// route.
	refusedRetryAfter = 50 * time.Millisecond
	// startRetryAfter is the minimum Retry-After while no configuration is known: the
	// time between two reads of a store that does not answer yet.
	startRetryAfter = 300 * time.Millisecond
	// queueShare is the share of the latency objective for which a plain request
	// waits for a free connection before it is refused.
	queueShare = 0.25

	// lapseGrace is how long after an outage of the store a target without an entry is
	// still used. Live targets register again within about 2 s.
	lapseGrace = 2200 * time.Millisecond
	// evacuationGrace is how long after the store came back from an older copy an evacuation
	// that it lacks continues, unless operators write it again or end it.
	evacuationGrace = 10 * time.Second
	// departureMemory is how long the last report of a target that has left is kept. It is
	// above the age of a copy from which the store may come back, and the delay of a late write.
	departureMemory = time.Minute
	// unrenewedEntryTime is above the time after which the store removes an entry that is not
	// renewed: three report intervals of 1.2 s.
	unrenewedEntryTime = 10 * time.Second
	// maxDepartures bounds the departures that are learned from other instances: several times
	// the targets of an installation of the target size that leave within departureMemory.
	maxDepartures = 4096
	// departureQueryRounds is the number of rounds of state messages after the start, and after
	// a complete read, that ask for departures.
	departureQueryRounds = 3
	// maxSentDepartures bounds the departures that an instance is sent on each request, and
	// maxDeparturesBytes those in one message. departureBytes is the size of one without its ID.
	maxSentDepartures  = 400
	maxDeparturesBytes = 1000
	departureBytes     = 24
	// sourceBehindAfter is how long another instance may know a later state of the
	// store before this instance fetches that state from the other instance. Changes
	// normally arrive from the source in less than half of that time.
	sourceBehindAfter = 800 * time.Millisecond
	// maxAllReadersFleet is the maximum fleet size at which every instance reads the
	// store itself. In larger fleets the price of each call outweighs the delay of
	// following another instance.
	maxAllReadersFleet = 12
	// maxStoreWatch is the maximum duration of a watch of the store. A watch may miss
	// a change, and only its end shows that the store has lost its history; a
	// configuration must be in force everywhere within 3 s.
	maxStoreWatch = 1500 * time.Millisecond
	// minReaders and membersPerReader determine the number of readers in larger
	// fleets: two may fail at the same time, and the last reader still serves the other
	// instances with one message per second each.
	minReaders       = 3
	membersPerReader = 64
	// sourceRetryAfter is how long a source that failed is not followed.
	sourceRetryAfter = 3 * time.Second
	// storeProbeInterval is the time after which the next instances try a store that
	// does not answer the readers, with watches of at most maxStoreProbeWatch: an
	// answer arrives within a connect and a watch.
	storeProbeInterval = time.Second
	maxStoreProbeWatch = 300 * time.Millisecond
	// storeProbeHold is how long an instance keeps reading after the store answered
	// it again. The other instances learn of this within some rounds of state messages.
	storeProbeHold = 5 * time.Second
	// sourceStartDelay is the time after the start for members to be discovered before
	// an instance decides whether to read the store itself.
	sourceStartDelay = 1500 * time.Millisecond

	// minGathererCapacityShare is the minimum capacity of a gathering instance, as a
	// share of the largest capacity in the fleet. minGathererShardShare is the minimum
	// number of a route's shards with a target in the instance's data centre, as a
	// share of the largest number in any data centre.
	minGathererCapacityShare = 0.5
	minGathererShardShare    = 0.5
	// gathererAvoidTime is how long an instance that failed to gather is not asked.
	gathererAvoidTime = 2 * time.Second
	// behindRetryDelay is how long an instance that lacks the configuration in force
	// is not asked. A configuration passes from one instance to the next in less time.
	behindRetryDelay = 200 * time.Millisecond
	// delegateProbeShare is the share of the time until the latency objective after
	// which a gathering instance that has not answered is probed, every delegateProbeGap.
	delegateProbeShare = 0.5
	delegateProbeGap   = 40 * time.Millisecond
	// gathererSilentAfter and giveUpGathererAfter are the times without an answer to a
	// probe after which an instance gets no new requests, and after which its requests
	// fail. A small instance that is busy with its first answers is silent for up to 0.3 s.
	gathererSilentAfter = 2 * delegateProbeGap
	giveUpGathererAfter = 500 * time.Millisecond

	// maxReportDelay is how long a forwarder may delay the report of an attempt that has
	// ended, to report it together with others.
	maxReportDelay = 2 * time.Millisecond

	// directAfterRefusal is how long attempts at a target are sent directly after a forwarder
	// refused one. The connections of forwarders are used up while a target is overloaded;
	// each refusal then costs a round trip at the shards that are late already.
	directAfterRefusal = time.Second

	// gossipInterval is the time between two rounds of state messages. Each message has 0.7
	// to 1.4 KB and is answered, so an instance has 3 to 6 KB/s of control traffic in a fleet
	// of any size.
	gossipInterval = time.Second
	// startGossipInterval replaces gossipInterval right after the start, so that the
	// fleet is known before the instance decides whether to read the store itself.
	startGossipInterval = 200 * time.Millisecond
	// gathererSearchInterval, some round trips between data centres, replaces
	// startGossipInterval until a larger instance is known, but at most for
	// gathererSearchTime after the start: requests that arrive before are gathered by
	// instances that are too small for it.
	gathererSearchInterval = 60 * time.Millisecond
	gathererSearchTime     = 300 * time.Millisecond
	// gossipLocalShare is the share of the rounds that stay in the own data centre.
	gossipLocalShare = 0.75
	// maxGossipGatherers and maxGossipOthers bound the members in one state message
	// that have the capacity to gather, and the other members.
	maxGossipGatherers = 10
	maxGossipOthers    = 2
	// sampleSize is the number of instances in the sample from which the size of the fleet is
	// estimated: 128 bytes of a state message, and a standard error of 18 %. sampleMargin
	// multiplies the estimate. From minSampleForEstimate on the size is estimated, as a full
	// sample becomes smaller for a while when instances are lost.
	sampleSize           = 32
	minSampleForEstimate = 24
	sampleMargin         = 1.25
	// sampleMaxAge is how long a sampled instance counts without news. News passes from
	// instance to instance and is older than that of a member, which comes directly.
	sampleMaxAge = 20 * time.Second
	// memberLostAfter and memberForgetAfter are the times without news of a member
	// after which it no longer counts as alive, and after which it is removed. News
	// reaches all members after about log2(instances) rounds.
	memberLostAfter   = 8 * time.Second
	memberForgetAfter = 30 * time.Second
	// maxMembers bounds the table of members: twice the instances of a fleet of the target size.
	maxMembers = 1024

	// maxCrashes is the number of crashes from which a request is held. maxCrashRecords bounds
	// the distinct targets, and the distinct attempts, that are recorded for a request.
	maxCrashes      = 3
	maxCrashRecords = 6
	// minBrokenParts is the number of broken parts from which the retries of a gathering
	// request are sent one at a time until a part is completed. Fewer may break by chance.
	minBrokenParts = 3
	// suspicionTime and holdTime are how long a request stays suspected, or held, after its
	// last crash. A refused arrival counts as a crash for holdTime. A suspected request costs
	// little, as its first complete run clears it.
	suspicionTime = 10 * time.Minute
	holdTime      = 10 * time.Minute
	// clearedTime is how long crashes under a request that a target completed don't count.
	// News of earlier crashes has ended by then, unless an instance was cut off.
	clearedTime = 2 * time.Minute
	// maxOrganisationEntries bounds the requests of an organisation in the table of crashes,
	// those that are cleared apart, and maxCrashEntries all requests: 0.4 to 1 MB. All
	// requests in flight at the targets of a data centre may be suspected at the same time.
	maxOrganisationEntries = 256
	maxCrashEntries        = 2048
	// completionMemory is the minimum time for which an instance remembers completed requests.
	// completedDigests is the number that it remembers in that time, 8 bytes each in two
	// generations.
	completionMemory = 2 * time.Minute
	completedDigests = 1 << 14
	// crashPushInterval is the minimum time between two rounds in which news of crashes is
	// pushed, each to crashFanout members. An entry that is held or cleared is pushed again
	// crashRepeats times: in a large fleet an instance is known to few others, so one round
	// misses some instances if messages are lost or data centres can't reach each other.
	crashPushInterval = 100 * time.Millisecond
	crashFanout       = 7
	crashRepeats      = 2
	crashRepeatDelay  = 200 * time.Millisecond
	// crashEntryBytes and crashBytes are the sizes of a request and of one of its crashes in a
	// state message.
	crashEntryBytes = 21
	crashBytes      = 8
	// maxPushedCrashBytes bounds the news in a message that is pushed: with the state of the
	// sender, an instance that always has news to push sends 24 KB/s.
	maxPushedCrashBytes = 230
	// maxRegularCrashBytes bounds the news in a regular state message. memberBytes of news take
	// the place of a member.
	maxRegularCrashBytes = 260
	memberBytes          = 95
	// maxCrashTableBytes bounds the news for an instance that has just started, which is sent
	// to it if it is in one of its first crashTableRounds of state messages, about 3 s.
	maxCrashTableBytes = 1200
	crashTableRounds   = 20
	// maxReceivedCrashNews bounds the news that is read from a message.
	maxReceivedCrashNews = 200
	// crashTimeSlack is the difference between the times of a request at two instances that
	// counts as none. crashExpiryMargin is the time before the end of an entry in which it is
	// no longer learned from others; it is above the sum of such differences.
	crashTimeSlack    = time.Second
	crashExpiryMargin = 5 * time.Second

	// drainReadyDelay is how long a stopping instance still accepts new connections:
	// two missed readiness checks of the load balancer, 1 s apart.
	drainReadyDelay = 2300 * time.Millisecond
	// drainReserve is the end of the stop time that is reserved for the last answers.
	drainReserve = 700 * time.Millisecond
)
