package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/object"
)

const longAnswerBytes = 600 << 10

// newPipelinedRig returns a rig whose outbound listener at addr serves the requests of
// a connection concurrently and buffers short responses, as on the platform.
func newPipelinedRig(t testing.TB, rt *rawTarget) (r *rig, addr string) {
	t.Helper()
	r = newRig(t, &object.PolicySpec{TimeoutMs: 3000}, rt.addr)
	r.out.opts.Responses = ResponseOptions{BufferBytes: 4 << 10}
	_, addr = servePipelined(t, r.out)
	return r, addr
}

// sendHalf writes the beginning of a long answer, up to its middle.
func sendHalf(nc net.Conn) {
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", longAnswerBytes, strings.Repeat("a", longAnswerBytes/2))
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// Guards against calls that are passed on behind a long answer and get none because
// that answer breaks off, and against a broken-off answer that looks whole.
func TestCallsBehindABrokenOffAnswerAreAnswered(t *testing.T) {
	for _, broken := range []bool{true, false} {
		t.Run(fmt.Sprint("broken ", broken), func(t *testing.T) {
			is := is.New(t)
			const behind = 3
			arrived := make(chan struct{}, behind)
			rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
				if r.URL.Path != "/long" {
					arrived <- struct{}{}
					io.WriteString(nc, okAnswer)
					return true
				}
				for range behind {
					<-arrived
				}
				sendHalf(nc)
				if !broken {
					io.WriteString(nc, strings.Repeat("b", longAnswerBytes/2))
				}
				close(arrived) // a retry finds it closed
				return !broken
			})
			_, addr := newPipelinedRig(t, rt)
			nc := dial(t, addr)
			io.WriteString(nc, strings.Replace(get("/long"), "GET", "PUT", 1)+strings.Repeat(get("/short"), behind))
			br := bufio.NewReader(nc)
			resp, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			if broken {
				is.Equal(resp.StatusCode, 502)
				is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
			} else {
				is.Equal(resp.StatusCode, 200)
				is.Equal(len(body), longAnswerBytes)
			}
			for range behind {
				resp, err := http.ReadResponse(br, nil)
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), "ok")
			}
		})
	}
}

// Guards against an answer that is too long to be held and is lost, or blocks the
// calls behind it, because those have been passed on.
func TestAnswerTooLongToHoldIsStreamed(t *testing.T) {
	is := is.New(t)
	const size = maxHeldBytes + 1<<20
	arrived := make(chan struct{}, 1)
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
		if r.URL.Path != "/long" {
			arrived <- struct{}{}
			io.WriteString(nc, okAnswer)
			return true
		}
		<-arrived
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("a", size))
		return true
	})
	_, addr := newPipelinedRig(t, rt)
	nc := dial(t, addr)
	io.WriteString(nc, get("/long")+get("/short"))
	br := bufio.NewReader(nc)
	for _, want := range []int{size, len("ok")} {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		n, err := io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(n, int64(want))
	}
}

// Guards against a call that is passed on while the answer before it is being sent and
// may still break off.
func TestNoCallIsPassedOnBehindAStreamedAnswer(t *testing.T) {
	for _, broken := range []bool{true, false} {
		t.Run(fmt.Sprint("broken ", broken), func(t *testing.T) {
			is := is.New(t)
			proceed, short := make(chan struct{}), make(chan struct{}, 1)
			rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
				if r.URL.Path != "/long" {
					short <- struct{}{}
					io.WriteString(nc, okAnswer)
					return true
				}
				sendHalf(nc)
				<-proceed
				if !broken {
					io.WriteString(nc, strings.Repeat("b", longAnswerBytes/2))
				}
				return !broken
			})
			_, addr := newPipelinedRig(t, rt)
			nc := dial(t, addr)
			io.WriteString(nc, get("/long"))
			br := bufio.NewReader(nc)
			resp, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			_, err = io.ReadFull(resp.Body, make([]byte, longAnswerBytes/4)) // the answer is streamed
			is.NoErr(err)
			io.WriteString(nc, get("/short"))
			select {
			case <-short:
				t.Error("a call was passed on behind an answer that may break off")
			case <-time.After(100 * time.Millisecond):
			}
			close(proceed)
			_, err = io.Copy(io.Discard, resp.Body)
			if broken {
				is.True(err != nil) // never taken for a whole answer
				_, err = br.ReadByte()
				is.True(err != nil)
				is.Equal(len(short), 0)
				return
			}
			is.NoErr(err)
			resp, err = http.ReadResponse(br, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, 200)
		})
	}
}

// BenchmarkPipelinedReads measures reads that are sent four at a time: short ones, and
// short ones behind one with a long answer.
func BenchmarkPipelinedReads(b *testing.B) {
	long := strings.Repeat("a", longAnswerBytes)
	rt := newRawTarget(b, func(nc net.Conn, r *http.Request, _ int32) bool {
		if r.URL.Path != "/long" {
			io.WriteString(nc, okAnswer)
			return true
		}
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", longAnswerBytes, long)
		return true
	})
	for _, first := range []string{"/short", "/long"} {
		b.Run(first[1:], func(b *testing.B) {
			_, addr := newPipelinedRig(b, rt)
			nc := dial(b, addr)
			nc.SetDeadline(time.Time{})
			br := bufio.NewReader(nc)
			for b.Loop() {
				io.WriteString(nc, get(first)+strings.Repeat(get("/short"), 3))
				for range 4 {
					resp, err := http.ReadResponse(br, nil)
					if err != nil || resp.StatusCode != 200 {
						b.Fatal(resp, err)
					}
					if _, err := io.Copy(io.Discard, resp.Body); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
