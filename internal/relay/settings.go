package relay

import "time"

const (
	// Path is where an instance's server for other instances takes links.
	Path = "/relay"
	// protocol names the frames in the header Upgrade.
	protocol = "gentianstand-relay"
	// openWait is how long calls wait for a link to open before they take another way, if
	// there is an open one: it takes milliseconds, more at an instance that is short of
	// processor.
	openWait = 200 * time.Millisecond
	// openTimeout bounds the opening of a link. A new owner on a small machine opens its
	// links while its own is full of what it reads from the store, for a second or two.
	openTimeout = 2 * time.Second
	// heartbeatPeriod is how long a relay writes nothing at most.
	heartbeatPeriod = 400 * time.Millisecond
	// coalesceDelay is how long a frame waits for others to go with it in one packet: each
	// packet costs its far end a wake-up and 60 bytes of headers, as much as a frame.
	coalesceDelay = 4 * time.Millisecond
	// unresponsiveAfter is how long a relay may be silent: two heartbeats and some time.
	unresponsiveAfter = time.Second
	// scanPeriod is how often links are looked through for silent and idle ones.
	scanPeriod = 100 * time.Millisecond
	// idleAfter is how long a link without calls is kept. Workers with runs are looked
	// at every second.
	idleAfter = 5 * time.Second
	// minBackoff is how long an instance is passed over after its link was lost, twice
	// as long after each further time in a row, up to avoidMost: the process is back
	// within a second or two, or the machine is gone and each try delays some calls by
	// openTimeout.
	minBackoff = time.Second
	maxBackoff = 16 * time.Second
	// maxLosses is after how many losses in a row avoidMost holds in any case.
	maxLosses = 10
	// detourPeriod is how long a worker that did not answer through a relay is reached
	// through its next one: the way between the two may be what is broken.
	detourPeriod = time.Second
	// refreshPeriod is how often the list of instances is taken anew.
	refreshPeriod = 500 * time.Millisecond
	// maxRelayAttempts is how many times a call is given to a relay at most before this instance
	// makes it itself. Where no link opens soon it waits at each for openSoon.
	maxRelayAttempts = 8
	// replyMargin is kept of a call's time for the way of the reply, at most
	// replyShare of that time.
	replyMargin      = 20 * time.Millisecond
	replyMarginShare = 0.2
	// overdueSlack is how much longer than its limit a request may be on its way:
	// frames take some milliseconds, on a full link some hundred.
	overdueSlack = 300 * time.Millisecond
	// delayWindow is how long the shortest way counts; see lateness.
	delayWindow = 2 * time.Second
	// writeTimeout bounds the writing of frames to a far end that does not read.
	writeTimeout = 2 * time.Second
)
