package entry

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/audit"
	"gentianstand/internal/callerconn"
	"gentianstand/internal/config"
	"gentianstand/internal/fault"
	"gentianstand/internal/idempotency"
	"gentianstand/internal/live"
	"gentianstand/internal/ownership"
	"gentianstand/internal/peer"
	"gentianstand/internal/platform"
	"gentianstand/internal/resource"
	"gentianstand/internal/routing"

	vm "github.com/VictoriaMetrics/metrics"
)

// PathServices is the path prefix of requests to services. The service's name, a slash and any
// path follow it.
const PathServices = "/s/"

// Server implements the HTTP API of one instance for callers and operators.
type Server struct {
	identity      ownership.Identity
	router        *routing.Router
	hub           *peer.Hub
	config        *config.Current
	store         *config.Store
	trail         *audit.Trail
	table         platform.Table
	registry      *idempotency.Registry
	runs          Runs
	view          func() live.View
	ready         func() error
	largestWorker func() resource.Amount
	rowsChanged   func()
	token         string
	set           *vm.Set
	metrics       requestMetrics
	log           *logrus.Entry

	upstreams *http.Transport
	instances *http.Transport
	stopped   atomic.Bool
	inFlight  atomic.Int64
}

// NewServer returns a Server with its own connection pools to workers and other instances.
func NewServer(d Deps) *Server {
	return &Server{
		identity: d.Identity, router: d.Router, hub: d.Hub, config: d.Config, store: d.Store, trail: d.Trail,
		table: d.Table, registry: d.Registry, runs: d.Runs, view: d.View, ready: d.Ready, largestWorker: d.LargestWorker, rowsChanged: d.RowsChanged,
		token: d.Token, set: d.Metrics, metrics: newRequestMetrics(d.Metrics), log: d.Log,
		upstreams: newTransport(upstreamConnections), instances: newTransport(peerConnections),
	}
}

// The connection limits for each worker and each other instance. A worker accepts about 60
// connections, and only its owner sends it requests.
const (
	upstreamConnections = 48
	peerConnections     = 256
	dialTimeout         = time.Second
	idleTimeout         = 30 * time.Second
)

// newTransport returns a transport with TCP keep-alive probes. A connection that the other end
// has lost is closed within seconds, even while it waits for a slow response. The transport
// doesn't compress requests or retry them.
func newTransport(perHost int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3,
	}}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: perHost,
		MaxConnsPerHost:     perHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Handler returns the handler for all routes of the API, health checks and metrics.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(s.trackInFlight)
	engine.Any(PathServices+":service/*path", s.handleService)
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", s.handleReady)
	engine.GET("/metrics", func(c *gin.Context) { s.set.WritePrometheus(c.Writer); vm.WriteProcessMetrics(c.Writer) })
	s.routeOperators(engine.Group("/v1", s.authorize))
	engine.NoRoute(func(c *gin.Context) {
		id := requestID(c.Request)
		c.Header(HeaderRequestID, id)
		writeError(c.Writer, id, fault.New(fault.UnknownPath, "no such path; services are below %s<name>/", PathServices))
	})
	return engine
}

// trackInFlight counts the requests in progress; a graceful stop waits for them.
func (s *Server) trackInFlight(c *gin.Context) {
	callerconn.SkipBody(c.Request)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c.Next()
}

func (s *Server) handleService(c *gin.Context) {
	s.serveService(c.Writer, c.Request, c.Param("service"), upstreamPath(c.Request, c.Param("path")))
}

func (s *Server) handleReady(c *gin.Context) {
	if s.stopped.Load() {
		c.String(http.StatusServiceUnavailable, "stopping\n")
		return
	}
	if err := s.ready(); err != nil {
		c.String(http.StatusServiceUnavailable, "%s\n", err)
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// Stop makes the Server refuse new requests. Requests in progress continue.
func (s *Server) Stop() { s.stopped.Store(true) }

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func (s *Server) authorize(c *gin.Context) {
	if s.token == "" || strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ") == s.token {
		return
	}
	id := requestID(c.Request)
	c.Header(HeaderRequestID, id)
	writeError(c.Writer, id, fault.New(fault.Unauthorized, "the Authorization header does not carry the operator token"))
	c.Abort()
}
