package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"gentianstand/internal/audit"
	"gentianstand/internal/callerconn"
	"gentianstand/internal/config"
	"gentianstand/internal/fault"
	"gentianstand/internal/spec"
)

// HeaderOperator names the operator who requests a change.
const HeaderOperator = "X-Operator"

// anonymous is the name of an operator whose request carries none.
const anonymous = "anonymous"

func (s *Server) routeOperators(g *gin.RouterGroup) {
	g.GET("/config", s.handle(s.getConfig))
	g.POST("/config", s.handle(s.applyConfig))
	g.POST("/plan", s.handle(s.planConfig))
	g.GET("/runs", s.handle(s.listRuns))
	g.GET("/runs/:id", s.handle(s.getRun))
	g.DELETE("/runs/:id", s.handle(s.cancelRun))
	g.POST("/workloads/:name/runs", s.handle(s.submitRun))
	g.DELETE("/workloads/:name/runs", s.handle(s.cancelWorkload))
	g.POST("/drains/:id", s.handle(s.drain))
	g.DELETE("/drains/:id", s.handle(s.cancelDrain))
	g.GET("/status", s.handle(s.status))
	g.GET("/audit", s.handle(s.audit))
}

// handle returns a handler that sends the result of f as JSON, or its error.
func (s *Server) handle(f func(*gin.Context) (any, error)) gin.HandlerFunc {
	return func(c *gin.Context) {
		id := requestID(c.Request)
		c.Header(HeaderRequestID, id)
		err := callerconn.Serve(c.Writer, c.Request)
		var body any
		if err == nil {
			body, err = f(c)
		}
		if err != nil {
			writeError(c.Writer, id, err)
			return
		}
		writeJSON(c.Writer, http.StatusOK, body)
	}
}

// callContext returns the context for the calls that a request makes. A change that an operator
// has requested continues when the operator disconnects. The context is not gin's own: a
// connection that is being dialed may read the context after the handler has returned, when gin
// already reuses it for the next request.
func callContext(c *gin.Context) context.Context {
	return context.WithoutCancel(c.Request.Context())
}

func operator(c *gin.Context) string {
	name := c.GetHeader(HeaderOperator)
	if name == "" || len(name) > maxIDLength {
		return anonymous
	}
	return name
}

func (s *Server) getConfig(c *gin.Context) (any, error) {
	if number := c.Query("number"); number != "" {
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return nil, fault.New(fault.BadRequest, "number is %q; allowed: a whole number", number)
		}
		return s.store.Load(callContext(c), n)
	}
	rec, _ := s.config.Get()
	return rec, nil
}

// readText reads and validates the text of a configuration. A text with an error is rejected as
// a whole.
func readText(c *gin.Context) (string, *spec.Text, error) {
	data, err := callerconn.ReadBody(c.Writer, c.Request, spec.MaxTextBytes, time.Now().Add(bodyTimeout))
	if fault.Is(err, fault.TooLarge) {
		return "", nil, fault.New(fault.TooLarge, "the text is larger than %d bytes", spec.MaxTextBytes)
	}
	if err != nil {
		return "", nil, err
	}
	text, err := spec.Parse(string(data))
	if err != nil {
		return "", nil, fault.New(fault.BadRequest, "%w", err)
	}
	return string(data), text, nil
}

// baseNumber returns the number of the configuration that a change is based on: the one given
// by the operator, or else the one that is the head in the table.
func (s *Server) baseNumber(c *gin.Context) (uint64, error) {
	value := c.Query("base")
	if value == "" {
		head, err := s.store.Head(callContext(c))
		return head.Number, err
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "base is %q; allowed: the number of a configuration", value)
	}
	return n, nil
}

func (s *Server) applyConfig(c *gin.Context) (any, error) {
	source, text, err := readText(c)
	if err != nil {
		return nil, err
	}
	base, err := s.baseNumber(c)
	if err != nil {
		return nil, err
	}
	rec, err := s.store.Apply(callContext(c), source, operator(c), base)
	if err != nil {
		s.auditRefused(c, audit.Apply, "configuration", base, err)
		return nil, err
	}
	if err := s.config.Install(rec); err != nil {
		s.log.WithError(err).Error("config_install_failed")
	}
	s.rowsChanged()
	return ApplyResult{Number: rec.Number, Author: rec.Author, Warnings: s.warnings(text)}, nil
}

// auditRefused adds an audit entry for a refused change. A failure to store the entry is only
// logged.
func (s *Server) auditRefused(c *gin.Context, action audit.Action, subject string, from uint64, err error) {
	f := fault.From(err)
	entry := audit.Entry{At: time.Now().UTC(), By: operator(c), Action: action, Subject: subject, From: from, Outcome: string(f.Kind)}
	if err := s.trail.Add(callContext(c), entry); err != nil {
		s.log.WithError(err).Warn("audit_entry_lost")
	}
}

func (s *Server) planConfig(c *gin.Context) (any, error) {
	source, text, err := readText(c)
	if err != nil {
		return nil, err
	}
	rec, _ := s.config.Get()
	return PlanResult{Base: rec.Number, Diff: config.Diff(rec.Text, source), Changes: s.describeChanges(text), Warnings: s.warnings(text)}, nil
}

func (s *Server) listRuns(c *gin.Context) (any, error) { return s.runs.Summaries(callContext(c)) }

func (s *Server) getRun(c *gin.Context) (any, error) {
	return s.runs.Run(callContext(c), c.Param("id"))
}

func (s *Server) submitRun(c *gin.Context) (any, error) {
	key := c.GetHeader(HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		return nil, fault.New(fault.BadRequest, "header %s has %d characters; allowed: at most %d", HeaderIdempotencyKey, len(key), maxKeyLength)
	}
	id, err := s.runs.Submit(callContext(c), c.Param("name"), key, operator(c))
	if err != nil {
		return nil, err
	}
	s.auditAccepted(c, audit.Submit, id)
	return SubmitResult{Run: id}, nil
}

func (s *Server) cancelRun(c *gin.Context) (any, error) {
	return s.cancel(c, []string{c.Param("id")}, "", c.Param("id"))
}

func (s *Server) cancelWorkload(c *gin.Context) (any, error) {
	return s.cancel(c, nil, c.Param("name"), c.Param("name"))
}

func (s *Server) cancel(c *gin.Context, ids []string, workload, subject string) (any, error) {
	n, err := s.runs.Cancel(callContext(c), ids, workload, operator(c))
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, fault.New(fault.UnknownRun, "nothing named %q is waiting or running", subject)
	}
	s.auditAccepted(c, audit.Cancel, subject)
	return CancelResult{Cancelled: n}, nil
}

// auditAccepted adds an audit entry for a change that is already stored. A failure to store the
// entry is only logged.
func (s *Server) auditAccepted(c *gin.Context, action audit.Action, subject string) {
	entry := audit.Entry{At: time.Now().UTC(), By: operator(c), Action: action, Subject: subject, Outcome: audit.Accepted}
	if err := s.trail.Add(callContext(c), entry); err != nil {
		s.log.WithError(err).Warn("audit_entry_lost")
	}
}

func (s *Server) audit(c *gin.Context) (any, error) {
	limit := 100
	if value := c.Query("limit"); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > 10_000 {
			return nil, fault.New(fault.BadRequest, "limit is %q; allowed: 1 to 10000", value)
		}
		limit = n
	}
	var since time.Time
	if value := c.Query("since"); value != "" {
		t, err := time.Parse(time.RFC3339, value)
		if err != nil {
			return nil, fault.New(fault.BadRequest, "since is %q; allowed: a time such as 2026-12-02T06:30:00Z", value)
		}
		since = t
	}
	entries, err := s.trail.List(callContext(c), since, limit)
	if err != nil {
		return nil, fault.New(fault.PlatformUnavailable, "the audit trail cannot be read: %w", err)
	}
	return entries, nil
}

func encode(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}
