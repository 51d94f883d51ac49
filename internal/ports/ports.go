// Package ports allocates free TCP addresses for programs that get their listen address as a
// setting.
package ports

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// The ports are below the ephemeral range. Otherwise the kernel could assign one of them to an
// outgoing connection or to a listener on port 0 before its program listens.
const (
	firstPort = 20_000
	portCount = 10_000
)

// pidStride separates the ports of processes with consecutive process ids.
const pidStride = 100

var takenCount atomic.Int64

// FreeAddress returns an address of host on which nothing listens. Calls in one process return
// different ports until the range is exhausted. FreeAddress fails if no port in the range is
// free.
func FreeAddress(host string) (string, error) {
	for range portCount {
		port := firstPort + (int64(os.Getpid())*pidStride+takenCount.Add(1))%portCount
		address := net.JoinHostPort(host, strconv.FormatInt(port, 10))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // The port is in use.
		}
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("close the listener on %s: %w", address, err)
		}
		return address, nil
	}
	return "", fmt.Errorf("no free port on %s from %d to %d", host, firstPort, firstPort+portCount-1)
}
