// Package ports gives addresses to programs that are told where to listen.
package ports

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// The ports lie below those that the kernel gives to connections and to listeners of
// port 0, so that none of these takes one before its program listens.
const (
	first = 20_000
	count = 10_000
)

// stride keeps processes that start one after the other apart.
const stride = 100

var taken atomic.Int64

// Take returns an address of a host at which nothing listens. No other call of this
// process returns the same port until all have been given.
func FreeAddress(host string) (string, error) {
	for range count {
		port := first + (int64(os.Getpid())*stride+taken.Add(1))%count
		address := net.JoinHostPort(host, strconv.FormatInt(port, 10))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // Something else listens there.
		}
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("close the listener at %s: %w", address, err)
		}
		return address, nil
	}
	return "", fmt.Errorf("no port of %s from %d to %d is free", host, first, first+count-1)
}
