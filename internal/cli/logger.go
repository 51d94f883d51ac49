package cli

import (
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat includes milliseconds, so that the lines of several processes can be sorted by
// time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewFormatter returns the formatter of all log lines, which writes JSON objects.
func NewFormatter() logrus.Formatter {
	return &logrus.JSONFormatter{TimestampFormat: timeFormat}
}

// NewLogger returns a logger that writes JSON lines to w. An unknown level selects info.
func NewLogger(w io.Writer, level string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(NewFormatter())
	if l, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(l)
	}
	return logger
}
