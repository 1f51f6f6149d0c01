package instance

import (
	"io"

	"github.com/sirupsen/logrus"
)

// NewLog returns a logger that writes each event to out as one line of key=value pairs, with the
// instance's ID.
func NewLog(level, id string, out io.Writer) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger.WithField("instance", id)
}
