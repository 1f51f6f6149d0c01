package instance

import (
	"math"
	"net"
	"net/url"
	"regexp"
	"syscall"
	"time"

	"gentianstand/internal/callerlimit"
	"gentianstand/internal/settings"
)

// Settings are the settings of an entry instance, which it gets when it starts. They are the only
// source of its addresses and its availability zone.
type Settings struct {
	ID              string
	Listen          string
	Advertise       string
	PeerListen      string
	PeerAdvertise   string
	Region          string
	Zone            string
	Platform        string
	PlatformTimeout time.Duration
	OperatorToken   string
	LogLevel        string
	StopTimeout     time.Duration
	// MemoryMiB and MaxDescriptors are the limits of the process; MaxDescriptors 0 is that of the system.
	MemoryMiB      int
	MaxDescriptors int
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Register adds the flags of an instance to s.
func (c *Settings) Register(s *settings.Settings) {
	s.StringVar(&c.ID, "id", "", "ID of this instance, the same as in the platform's list")
	s.StringVar(&c.Listen, "listen", "127.0.0.1:8080", "`host:port` for callers and operators")
	s.StringVar(&c.Advertise, "advertise", "", "`host:port` at which other instances reach -listen (default: the same)")
	s.StringVar(&c.PeerListen, "peer-listen", "127.0.0.1:8081", "`host:port` for other instances")
	s.StringVar(&c.PeerAdvertise, "peer-advertise", "", "`host:port` at which other instances reach -peer-listen (default: the same)")
	s.StringVar(&c.Region, "region", "", "region of this instance")
	s.StringVar(&c.Zone, "zone", "", "availability zone of this instance")
	s.StringVar(&c.Platform, "platform", "", "`URL` of the platform's services")
	s.DurationVar(&c.PlatformTimeout, "platform-timeout", time.Second, "timeout of one call to the platform")
	s.StringVar(&c.OperatorToken, "operator-token", "", "bearer token that operators' requests must carry; empty: none")
	s.StringVar(&c.LogLevel, "log-level", "info", "minimum severity of logged events: debug, info, warning or error")
	s.DurationVar(&c.StopTimeout, "stop-timeout", 30*time.Second, "maximum duration of a graceful stop")
	s.IntVar(&c.MemoryMiB, "memory-mib", 1024, "memory that the process may use, in `MiB`; the limits for callers follow from it")
	s.IntVar(&c.MaxDescriptors, "max-descriptors", 0, "descriptors that the process may open, as for -memory-mib; 0: the limit of the system")
	c.registerChecks(s)
}

func (c *Settings) registerChecks(s *settings.Settings) {
	name := "1 to 63 letters, digits, dots, hyphens and underscores, a letter or digit first"
	s.Check("id", name, func() bool { return namePattern.MatchString(c.ID) })
	s.Check("region", name, func() bool { return namePattern.MatchString(c.Region) })
	s.Check("zone", name, func() bool { return namePattern.MatchString(c.Zone) })
	address := "an IP number and a port, such as 10.0.0.5:8080"
	s.Check("listen", address, func() bool { return isAddress(c.Listen) })
	s.Check("peer-listen", address, func() bool { return isAddress(c.PeerListen) })
	s.Check("advertise", address+", or empty", func() bool { return c.Advertise == "" || isAddress(c.Advertise) })
	s.Check("peer-advertise", address+", or empty", func() bool { return c.PeerAdvertise == "" || isAddress(c.PeerAdvertise) })
	s.Check("platform", "an http URL with a host, such as http://10.0.0.2:9000", func() bool { return isURL(c.Platform) })
	s.Check("platform-timeout", "50ms to 1m", func() bool { return c.PlatformTimeout >= 50*time.Millisecond && c.PlatformTimeout <= time.Minute })
	s.Check("stop-timeout", "1s to 1h", func() bool { return c.StopTimeout >= time.Second && c.StopTimeout <= time.Hour })
	s.Check("memory-mib", "64 to 1048576", func() bool { return c.MemoryMiB >= 64 && c.MemoryMiB <= 1<<20 })
	s.Check("max-descriptors", "0, or 256 and more", func() bool { return c.MaxDescriptors == 0 || c.MaxDescriptors >= 256 })
	s.Check("log-level", "debug, info, warning or error", func() bool { return isLevel(c.LogLevel) })
}

// machine returns the limits of the process.
func (c *Settings) machine() callerlimit.Machine {
	m := callerlimit.Machine{MemoryBytes: int64(c.MemoryMiB) << 20, Descriptors: c.MaxDescriptors}
	var limit syscall.Rlimit
	if m.Descriptors == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		m.Descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return m
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

func isLevel(s string) bool {
	switch s {
	case "debug", "info", "warning", "error":
		return true
	}
	return false
}

func (c *Settings) advertised() (caller, peer string) {
	caller, peer = c.Advertise, c.PeerAdvertise
	if caller == "" {
		caller = c.Listen
	}
	if peer == "" {
		peer = c.PeerListen
	}
	return caller, peer
}
