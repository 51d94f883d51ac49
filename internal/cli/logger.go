package cli

import (
	"io"

	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes JSON lines. A level that is not known
// leaves the logger at info.
func NewLogger(w io.Writer, level string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&logrus.JSONFormatter{})
	if l, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(l)
	}
	return logger
}
