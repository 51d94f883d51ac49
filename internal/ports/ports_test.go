package ports

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestAddressesDiffer(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range portCount / 2 {
		address, err := FreeAddress("127.0.0.1")
		is.NoErr(err)
		is.True(!seen[address]) // No port is returned twice.
		seen[address] = true
	}
}

func TestAddressInUseIsSkipped(t *testing.T) {
	is := is.New(t)
	inUse := make(map[string]bool)
	for range 50 {
		address, err := FreeAddress("127.0.0.1")
		is.NoErr(err)
		l, err := net.Listen("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		inUse[address] = true
	}
	takenCount.Add(-50)
	for range 50 {
		address, err := FreeAddress("127.0.0.1")
		is.NoErr(err)
		is.True(!inUse[address]) // The port is in use.
	}
}
