package checkedconn

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/http1/answerhead"
)

// FastDial returns a dial function of fasthttp whose connections check answers. A nil dial opens connections as fasthttp does.
func FastDial(dial fasthttp.DialFunc) fasthttp.DialFunc {
	if dial == nil {
		dial = fasthttp.Dial
	}
	return func(address string) (net.Conn, error) {
		connection, err := dial(address)
		if err != nil {
			return nil, err
		}
		return New(connection), nil
	}
}

// maxGetBytes bounds the body that Get reads: the metrics of a process, or what a stand-in tells of itself.
const maxGetBytes = 64 << 20

var getClient = &fasthttp.Client{Dial: FastDial(nil), ReadBufferSize: answerhead.MaxBytes, MaxResponseBodySize: maxGetBytes}

// Get reads the answer to a request for a URL.
func Get(url string) (status int, body []byte, err error) { return getClient.Get(nil, url) }

// GetTimeout is Get with a limit on the time.
func GetTimeout(url string, timeout time.Duration) (status int, body []byte, err error) {
	return getClient.GetTimeout(nil, url, timeout)
}
