//go:build review

package kit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client is one client with a connection that it keeps.
type Client struct {
	run    *Run
	name   string
	front  *Node
	conn   net.Conn
	reader *bufio.Reader
	count  int
}

// Answer is what a client got for one request.
type Answer struct {
	ID     string
	Status int // 0 without a complete answer
	Stamp  string
	Err    error
	SentAt time.Time
	Kept   bool // the connection had served another request before
}

// NewClient returns a client of a front machine.
func (r *Run) NewClient(name string, front *Node) *Client {
	return &Client{run: r, name: name, front: front}
}

// Send sends a request and waits for the answer, at most its time budget.
func (c *Client) Send(method, path, body string, budget time.Duration, extra string) Answer {
	c.count++
	a := Answer{ID: fmt.Sprintf("%s-%d", c.name, c.count), Kept: c.conn != nil}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.front.Front(), time.Second)
		if err != nil {
			a.Err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a.SentAt = time.Now()
	_ = c.conn.SetDeadline(time.Now().Add(budget))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		method, path, Host, a.ID, budget.Milliseconds(), Key, len(body), extra, body)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	if err != nil {
		a.Err = err
		c.Close()
		return a
	}
	a.Status, a.Stamp = response.StatusCode, response.Header.Get("Response-Stamp")
	if response.Close {
		c.Close()
	}
	return a
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Look asks the directory of a node for the front machines.
func Look(n *Node, zone [2]string) (int, []string) {
	status, body := Call(http.MethodGet, n.Directory(), "/dogwoodhitch/resolve?name="+Host+"&region="+zone[1]+"&zone="+zone[0], nil, time.Second)
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.Unmarshal(body, &answer)
	return status, answer.Addresses
}
