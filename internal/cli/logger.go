package cli

import (
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat has milliseconds, so that the lines of several processes can be put in
// order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewFormatter returns the format of all log lines, JSON objects.
func NewFormatter() logrus.Formatter {
	return &logrus.JSONFormatter{TimestampFormat: timeFormat}
}

// NewLogger returns a logger that writes JSON lines. A level that is not known
// leaves the logger at info.
func NewLogger(w io.Writer, level string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(NewFormatter())
	if l, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(l)
	}
	return logger
}
