package entry

import (
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"gentianstand/internal/audit"
	"gentianstand/internal/fault"
	"gentianstand/internal/live"
	"gentianstand/internal/platform"
)

// drain requests the planned stop of a worker or an instance. The row and its audit entry are
// written in one transaction.
func (s *Server) drain(c *gin.Context) (any, error) {
	id := c.Param("id")
	now := time.Now().UTC()
	row := live.Drain{ID: id, By: operator(c), AtUnix: now.Unix()}
	tx := platform.Tx{Puts: []platform.Put{{Key: live.DrainKey(id), Value: encode(row)}}}
	if err := s.commitChange(c, tx, audit.Drain, id); err != nil {
		return nil, err
	}
	return row, nil
}

// cancelDrain cancels a planned stop.
func (s *Server) cancelDrain(c *gin.Context) (any, error) {
	id := c.Param("id")
	tx := platform.Tx{Deletes: []string{live.DrainKey(id)}}
	if err := s.commitChange(c, tx, audit.Resume, id); err != nil {
		return nil, err
	}
	return live.Drain{ID: id, By: operator(c)}, nil
}

func (s *Server) commitChange(c *gin.Context, tx platform.Tx, action audit.Action, subject string) error {
	entry := audit.Entry{At: time.Now().UTC(), By: operator(c), Action: action, Subject: subject, Outcome: audit.Accepted}
	tx.ID = uuid.NewString()
	tx.Puts = append(tx.Puts, s.trail.Put(entry))
	if err := platform.CommitWithRetry(callContext(c), s.table, tx); err != nil {
		return fault.New(fault.PlatformUnavailable, "the table did not say whether the %s was kept: %w", action, err).WithOutcome(fault.MayHaveRun)
	}
	s.rowsChanged()
	return nil
}
