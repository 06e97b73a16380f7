package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/platform/standin"
)

// Guards against an API key, which is stored in the clear in the operators'
// configuration, that can be read from a node: from its objects, its log or its
// metrics.
func TestNodeShowsNoKeys(t *testing.T) {
	const key = "k3y-of-ann"
	is := is.New(t)
	s := newTestPlatform(t)
	config := bytes.Replace(standin.Config(1, testHost, testService), []byte(`"limits"`), []byte(
		`"tenants":{"columns":["name","api_keys"],"rows":[["ann",["`+key+`"]]]},"limits"`), 1)
	_, err := s.mem.Put(t.Context(), standin.ConfigKey, config, 0)
	is.NoErr(err)
	first, second := s.start(1), s.start(2)
	first.startTarget(time.Millisecond)
	eventually(t, "an answer through the other node", func() bool {
		return second.callAs(key, "/lots/1", "a") == http.StatusOK
	})
	is.Equal(second.callAs("", "/lots/1", "b"), http.StatusUnauthorized)
	is.Equal(second.callAs(key+"x", "/lots/1", "c"), http.StatusUnauthorized)
	seen := fmt.Sprint(first.log.String(), second.log.String(),
		first.admin("/v1/objects"), first.admin("/metrics"), first.admin("/v1/status"))
	is.True(strings.Contains(seen, `"Tenant"`) && strings.Contains(seen, "unknown_key"))
	is.True(!strings.Contains(seen, key))
}

// callAs sends one call with a key and returns the status, or 0 if it fails.
func (in *instance) callAs(key, path, id string) int {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s", in.ip, in.platform.ports[0], path), nil)
	if err != nil {
		in.platform.t.Fatal(err)
	}
	req.Host = testHost
	standin.SetAttemptHeaders(req.Header, id, 1500*time.Millisecond)
	if key != "" {
		req.Header.Set("Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// admin returns the response of the node's admin listener to a GET request.
func (in *instance) admin(path string) string {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", in.ip, in.platform.ports[3], path))
	if err != nil {
		in.platform.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		in.platform.t.Fatal(err)
	}
	return string(b)
}
