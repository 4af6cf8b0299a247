//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientConn is a connection of a stand-in client to a front machine.
type clientConn struct {
	rec    *record
	conn   net.Conn
	reader *bufio.Reader
}

func (c *cluster) dial(m *machine) (*clientConn, error) {
	return dialAddress(c.rec, fmt.Sprint(m.ip, ":", c.ports.front))
}

func dialAddress(rec *record, address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{rec: rec, conn: conn, reader: bufio.NewReaderSize(conn, 1024)}, nil
}

// request is a request of a stand-in client.
type request struct {
	id, method, path string
	body             []byte
	deadline         time.Duration
}

// send sends a request.
func (c *clientConn) send(r request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\nAffinity-Key: %s\r\n",
		r.method, r.path, hostName, r.id, r.deadline.Milliseconds(), clientKey, r.id)
	if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, err := c.conn.Write([]byte(head + "\r\n")); err != nil {
		return err
	}
	_, err := c.conn.Write(r.body)
	return err
}

// answer is the answer to a request; err is set if the connection ended without a complete one.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
	closes bool // the connection carries no further request
}

// receive reads an answer.
func (c *clientConn) receive(method string, patience time.Duration) answer {
	startedAt := time.Now()
	_ = c.conn.SetReadDeadline(startedAt.Add(patience))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(startedAt)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err, took: time.Since(startedAt), closes: response.Close}
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("connection ended without a complete answer after %.3f s: %v (status %d)", a.took.Seconds(), a.err, a.status)
	}
	return fmt.Sprintf("status %d after %.3f s, %d bytes, Response-Stamp %q, refusal %q", a.status, a.took.Seconds(), len(a.body), a.header.Get("Response-Stamp"), a.header.Get("Dogwoodhitch-Refusal"))
}
