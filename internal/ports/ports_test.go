package ports

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestAddressesDiffer(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range count / 2 {
		address, err := FreeAddress("127.0.0.1")
		is.NoErr(err)
		is.True(!seen[address]) // Given once.
		seen[address] = true
	}
}

func TestTakenAddressIsPassedOver(t *testing.T) {
	is := is.New(t)
	held := make(map[string]bool)
	for range 50 {
		address, err := FreeAddress("127.0.0.1")
		is.NoErr(err)
		l, err := net.Listen("tcp", address)
		is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		held[address] = true
	}
	taken.Add(-50)
	for range 50 {
		address, err := FreeAddress("127.0.0.1")
		is.NoErr(err)
		is.True(!held[address]) // Something listens there.
	}
}
