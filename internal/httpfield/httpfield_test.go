package httpfield_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanfall/internal/httpfield"
)

func ExampleCheckNames() {
	for _, name := range []string{"Content-Length", "content-length", "Content Length", "Content-Length ", "X\x01", ""} {
		fmt.Printf("%q %t\n", name, httpfield.CheckNames(http.Header{name: {"3"}}) == nil)
	}
	// Output:
	// "Content-Length" true
	// "content-length" true
	// "Content Length" false
	// "Content-Length " false
	// "X\x01" false
	// "" false
}

// Guards against a response of a service of the platform with a field whose name is invalid, and against a second
// response that follows it on its connection and is taken for the response to the next request.
func TestTransportRefusesInvalidNames(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 3\r\n\r\nodd",
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nodd" + sound,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding : chunked\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + sound,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\nX Y: 1\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%.60q", text), func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go serveFirst(l, text, sound)
			client := &http.Client{Transport: httpfield.NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			get := func() (string, error) {
				resp, err := client.Get("http://" + l.Addr().String())
				if err != nil {
					return "", err
				}
				defer resp.Body.Close()
				b, err := io.ReadAll(resp.Body)
				return string(b), err
			}
			_, err = get()
			is.True(err != nil && strings.Contains(err.Error(), httpfield.ErrInvalidName.Error()))
			body, err := get()
			is.NoErr(err)
			is.Equal(body, "ok")
		})
	}
}

// serveFirst answers each request on the first connection with first, and those on others with then.
func serveFirst(l net.Listener, first, then string) {
	for text := first; ; text = then {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			br := bufio.NewReader(conn)
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(conn, text) // The client may have closed the connection.
			}
		}()
	}
}
