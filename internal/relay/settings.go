package relay

import "time"

const (
	// Path is the HTTP path on which an instance accepts relay links.
	Path = "/relay"
	// protocol is the value of the Upgrade header.
	protocol = "gentianstand-relay"
	// featuresHeader lists the features of the frames that an owner can read beyond those that
	// every version reads.
	featuresHeader = "Relay-Features"
	// repeatedEnds is the feature reply.RepeatedEnds.
	repeatedEnds = "repeated-ends"
	// openWait is how long calls wait for a link to open before they use another one that
	// is open. Opening takes milliseconds, or more at an instance that is short of CPU.
	openWait = 200 * time.Millisecond
	// openTimeout bounds the opening of a link. A new owner on a small machine opens its
	// links while its network is saturated by reads from the store, for 1 to 2 s.
	openTimeout = 2 * time.Second
	// heartbeatPeriod is the longest time without a frame from a relay.
	heartbeatPeriod = 400 * time.Millisecond
	// coalesceDelay is how long a frame waits for others that can share its packet. Each
	// packet costs the receiver a wake-up and 60 bytes of headers, as much as a frame.
	coalesceDelay = 4 * time.Millisecond
	// unresponsiveAfter is how long a link may receive no frame: 2 heartbeats and a margin.
	unresponsiveAfter = time.Second
	// maxUnanswered is how many calls in a row may end without any reply, as a relay replies also when
	// a worker does not answer.
	maxUnanswered = 3
	// maxSilence is how long a link is kept that receives nothing and cannot be replaced.
	maxSilence = 10 * time.Second
	// scanPeriod is how often links are checked for being unresponsive or idle.
	scanPeriod = 100 * time.Millisecond
	// idleAfter is how long a link without calls is kept. Workers with runs are polled
	// every second.
	idleAfter = 5 * time.Second
	// ownerSilentAfter is how long a relay's end of a link is kept without a request. The owner
	// ends a link after idleAfter, unless one of the two was lost.
	ownerSilentAfter = 3 * idleAfter
	// minBackoff is how long an instance is avoided after its link was lost. The time
	// doubles with each consecutive loss, up to maxBackoff: either the process is back
	// within 1 to 2 s, or the machine is gone and each attempt delays some calls by
	// openTimeout.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
	// maxLosses is the number of consecutive losses from which maxBackoff applies in any
	// case.
	maxLosses = 10
	// detourPeriod is how long a worker that did not answer through a relay is reached
	// through its next relay: the network between the two may be at fault.
	detourPeriod = time.Second
	// maxUnprovenCalls is how many direct calls are made at a time in place of calls through relays
	// while no direct call has been answered for directProofPeriod.
	maxUnprovenCalls  = 8
	directProofPeriod = time.Second
	// directRetryPeriod is how often a call that may not be made directly looks for a relay again:
	// a heartbeat, with which a link works again, comes as often.
	directRetryPeriod = heartbeatPeriod
	// refreshPeriod is how often the list of instances is reloaded.
	refreshPeriod = 500 * time.Millisecond
	// maxRelayAttempts is how many times a call is sent through a relay before this
	// instance makes it directly. If no link opens soon, the call waits openWait for each
	// attempt.
	maxRelayAttempts = 8
	// replyMargin is the part of a call's time that is reserved for the reply's transit, at
	// most replyMarginShare of that time.
	replyMargin      = 20 * time.Millisecond
	replyMarginShare = 0.2
	// overdueSlack is how much longer than its timeout a request may be in transit: frames
	// take some milliseconds, on a saturated network some hundreds.
	overdueSlack = 300 * time.Millisecond
	// delayWindow is how long the shortest delay is used as the baseline; see delayTracker.
	delayWindow = 2 * time.Second
	// writeTimeout bounds the writing of frames to a peer that does not read.
	writeTimeout = 2 * time.Second
)
