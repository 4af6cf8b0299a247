package dhsoak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"dogwoodhitch/io/dhentry"
	"dogwoodhitch/io/dhtestcluster"
)

// streamedBytes is the size from which answers are streamed; above the default of the
// setting holdBytes.
const streamedBytes = 64 << 10

// retryInterval is the time until a caller connects again.
const retryInterval = 20 * time.Millisecond

// route is a route of the configuration as its callers know it.
type route struct {
	prefix       string
	isRepeatable bool
	needsKey     bool
	isClaimed    bool
	timeout      time.Duration
}

var routes = []route{
	{prefix: "/gate/", isRepeatable: true, needsKey: true, timeout: 5 * time.Second},
	{prefix: "/open/", isRepeatable: true, timeout: 5 * time.Second},
	{prefix: "/once/", timeout: 5 * time.Second},
	{prefix: "/purchases/", needsKey: true, isClaimed: true, timeout: 8 * time.Second},
}

// onceRoute is the route that the sample objects lack.
const onceRoute = `{"route": {"name": "once", "pathPrefix": "/once/", "service": "gate", "open": true, "timeoutMs": 5000, "queueWaitMs": 2000}}`

// call is one request of a caller and what became of it.
type call struct {
	route
	id, token   string
	entry       string
	resends     bool          // an earlier call has the same token
	promised    time.Duration // the time that the system has for an answer
	hasTimeout  bool          // the request names its timeout
	work        time.Duration
	bodyBytes   int
	bodyPauses  int
	answerBytes int

	dialledAt, startedAt, sentAt, endedAt time.Time // sentAt is zero if it wasn't sent in full

	status       int // 0 without the head of an answer
	refusal, run string
	err          error // the answer is missing or incomplete
	isForeign    bool  // the answer has another content
	closes       bool  // the answer announces that the connection closes
}

func (c *call) String() string {
	return fmt.Sprintf("%s%s at %s (work %v, body %d B in %d parts, answer %d B, timeout %v): status %d, refusal %q, run %q, error %v; sent at %s, ended at %s",
		c.prefix, c.id, c.entry, c.work, c.bodyBytes, c.bodyPauses+1, c.answerBytes, c.promised, c.status, c.refusal, c.run, c.err,
		c.startedAt.Format(clockFormat), c.endedAt.Format(clockFormat))
}

// caller sends one request after another to an entry instance, and keeps its connection.
type caller struct {
	soak       *soak
	name       string
	entry      *dhtestcluster.Process
	random     *rand.Rand
	connection net.Conn
	reader     *bufio.Reader
	dialledAt  time.Time
	last       *call
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		if c.connection != nil && c.random.IntN(8) == 0 {
			c.close()
		}
		if c.connection == nil && !c.dial(ctx) {
			sleep(ctx, retryInterval)
			continue
		}
		q := c.newCall(n)
		c.send(q)
		c.soak.record(q)
		c.last = q
		if q.err != nil || q.closes {
			c.close()
		}
		switch c.random.IntN(10) {
		case 0:
			sleep(ctx, c.between(200, 2000))
		case 1, 2, 3:
			sleep(ctx, c.between(1, 100))
		}
	}
}

func (c *caller) between(low, high int) time.Duration { return between(c.random, low, high) }

// between returns a random time between two numbers of milliseconds.
func between(r *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+r.IntN(max(high-low, 1))) * time.Millisecond
}

// sleep waits until a time has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *caller) dial(ctx context.Context) bool {
	connection, err := new(net.Dialer).DialContext(ctx, "tcp", c.entry.Callers())
	if err != nil {
		return false
	}
	c.connection, c.reader, c.dialledAt = connection, bufio.NewReader(connection), time.Now()
	return true
}

func (c *caller) close() {
	if c.connection != nil {
		c.connection.Close()
		c.connection = nil
	}
}

// newCall draws a request.
func (c *caller) newCall(n int) *call {
	q := &call{
		route: routes[c.random.IntN(len(routes))], id: fmt.Sprintf("%s-%d", c.name, n), entry: c.entry.Name(),
		dialledAt: c.dialledAt, bodyBytes: c.random.IntN(2000), answerBytes: 1 + c.random.IntN(2000),
	}
	q.token, q.promised = q.id, q.timeout
	longest := int(c.soak.longestWork.Milliseconds())
	switch c.random.IntN(10) {
	case 0:
		q.work = c.between(longest/2, longest)
	case 1, 2:
		q.work = c.between(0, longest/2)
	default:
		q.work = c.between(0, 30)
	}
	if c.random.IntN(6) == 0 {
		q.answerBytes = streamedBytes + 1 + c.random.IntN(4*streamedBytes)
	}
	if c.random.IntN(5) == 0 {
		q.bodyPauses = 1 + c.random.IntN(4)
	}
	if c.random.IntN(3) == 0 {
		q.hasTimeout, q.promised = true, min(q.promised, q.work+c.between(200, 2000))
	}
	if p := c.last; q.isClaimed && p != nil && p.isClaimed && p.status != http.StatusOK {
		q.token, q.resends, q.bodyBytes, q.answerBytes = p.token, true, p.bodyBytes, p.answerBytes
	}
	return q
}

// send sends a request and reads its answer.
func (c *caller) send(q *call) {
	q.startedAt = time.Now()
	defer func() { q.endedAt = time.Now() }()
	if err := c.connection.SetDeadline(q.startedAt.Add(dhtestcluster.WaitTimeout)); err != nil {
		q.err = err
		return
	}
	// The answer to a request that couldn't be sent in full may be there nevertheless.
	writeErr := c.write(q)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		q.err = errors.Join(writeErr, err)
		return
	}
	defer response.Body.Close()
	q.status, q.closes = response.StatusCode, response.Close
	q.refusal, q.run = response.Header.Get(dhentry.HeaderRefusal), response.Header.Get(dhentry.HeaderRun)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		q.err = err
		return
	}
	q.isForeign = q.refusal == "" && !bytes.Equal(body, content(q.token, q.answerBytes))
}

// write sends the head and then the body in parts.
func (c *caller) write(q *call) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST %s%s HTTP/1.1\r\nHost: soak\r\n", q.prefix, q.token)
	h := http.Header{}
	h.Set(headerID, q.id)
	h.Set(headerToken, q.token)
	h.Set(headerWork, strconv.FormatInt(q.work.Milliseconds(), 10))
	h.Set(headerAnswer, strconv.Itoa(q.answerBytes))
	h.Set("Content-Length", strconv.Itoa(q.bodyBytes))
	if q.needsKey {
		h.Set("Authorization", "Bearer "+dhtestcluster.KeyOne)
	}
	if q.isClaimed {
		h.Set(dhentry.HeaderIdempotencyKey, q.token)
	}
	if q.hasTimeout {
		h.Set(dhentry.HeaderTimeout, strconv.FormatInt(q.promised.Milliseconds(), 10))
	}
	if err := h.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	body := content(q.token, q.bodyBytes)
	parts := q.bodyPauses + 1
	raw := append(head.Bytes(), body[:len(body)/parts]...)
	for i := range parts {
		if i > 0 {
			time.Sleep(c.between(1, 150))
			raw = body[i*len(body)/parts : (i+1)*len(body)/parts]
		}
		if _, err := c.connection.Write(raw); err != nil {
			return err
		}
	}
	q.sentAt = time.Now()
	return nil
}

// deadline returns the earliest time at which the request may be given up.
func (c *call) deadline() time.Time { return c.startedAt.Add(c.promised) }

// isTimeout reports whether no answer came within the caller's patience.
func (c *call) isTimeout() bool { return errors.Is(c.err, os.ErrDeadlineExceeded) }
