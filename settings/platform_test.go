package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
)

const validOnPlatform = `{"id":"sask-a-1","region":"sask","failureDomain":"sask-a",
 "listen":{"outbound":"10.0.0.1:1","inbound":"10.0.0.1:2","peer":"10.0.0.1:3","admin":"10.0.0.1:4","metrics":"10.0.0.1:9464"},
 "store":{"endpoint":"10.0.9.9:6"}, "seeds":[],
 "platform":{"control":"10.0.0.1:5","ready":"10.0.0.1:7","service":"floor","targetAddress":"10.0.0.1:80",
  "seedHosts":["10.0.0.2:5"],"heartbeatMs":1500,"drainMs":2000,"graceS":6,"retryRatio":0.1,"retrySlack":20,
  "retryWindowS":10,"memoryMB":128,"maxFiles":512,"linkMbps":23.8}}`

// Guards against seed hosts that are contacted at the port in their address,
// which belongs to another listener than the peer listener.
func TestSeedHostsGetThePeerPort(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validOnPlatform))
	is.NoErr(err)
	is.Equal(s.Seeds, []Seed{{Address: "10.0.0.2:3"}})
}

// Guards against invalid platform settings with which a node starts and fails
// later, and against a check that reports only the first fault.
func TestParseListsEveryPlatformFault(t *testing.T) {
	is := is.New(t)
	bad := strings.NewReplacer(
		`"10.0.0.1:9464"`, `"10.0.0.1:4"`, `"control":"10.0.0.1:5"`, `"control":"10.0.0.1:2"`,
		`"ready":"10.0.0.1:7"`, `"ready":"host:7"`,
		`"10.0.0.1:80"`, `"0.0.0.0:80"`, `["10.0.0.2:5"]`, `["x"]`, `"heartbeatMs":1500`, `"heartbeatMs":0`,
		`"drainMs":2000`, `"drainMs":-1`,
		`"graceS":6`, `"graceS":0.2`, `"retryRatio":0.1`, `"retryRatio":1.1`, `"retrySlack":20`, `"retrySlack":-1`,
		`"memoryMB":128`, `"memoryMB":-1`, `"linkMbps":23.8`, `"linkMbps":-2`, `"endpoint":"10.0.9.9:6"`, `"endpoint":""`,
	).Replace(validOnPlatform)
	_, err := Parse([]byte(bad))
	is.True(errorx.IsOfType(err, errdefs.Invalid))
	for _, field := range []string{
		"listen.metrics", "platform.control", "platform.ready", "platform.targetAddress", "platform.seedHosts[0]",
		"platform.heartbeatMs", "platform.drainMs", "platform.graceS", "platform.retryRatio", "platform.retrySlack",
		"platform.memoryMB", "platform.linkMbps", "store.endpoint",
	} {
		if !strings.Contains(err.Error(), field+":") {
			t.Errorf("fault of %s is missing in error: %v", field, err)
		}
	}
}

// Guards against a node that does not start for the form of a name that the platform
// gives to its instance, region or failure domain.
func TestPlatformNamesOfAnyForm(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"red_bluff", "Red-Bluff", "red bluff/2", "größe", strings.Repeat("n", maxPlatformName)} {
		for _, part := range []string{`"id":"sask-a-1"`, `"region":"sask"`, `"failureDomain":"sask-a"`} {
			field, _, _ := strings.Cut(part, ":")
			_, err := Parse([]byte(strings.Replace(validOnPlatform, part, field+`:"`+name+`"`, 1)))
			is.NoErr(err)
			for _, bad := range []string{"", name + strings.Repeat("n", maxPlatformName)} {
				_, err := Parse([]byte(strings.Replace(validOnPlatform, part, field+`:"`+bad+`"`, 1)))
				is.True(err != nil && strings.Contains(err.Error(), strings.Trim(field, `"`)))
			}
		}
	}
}

// Guards against a node that does not start because the platform writes a whole number
// with a decimal point, or gives a fraction.
func TestPlatformNumbersOfAnyForm(t *testing.T) {
	is := is.New(t)
	for _, part := range []string{`"heartbeatMs":1500`, `"drainMs":2000`, `"memoryMB":128`, `"maxFiles":512`, `"quotaSlack":7`} {
		field, number, _ := strings.Cut(part, ":")
		conf := strings.Replace(validOnPlatform, `"retryRatio"`, `"quotaSlack":7,"quotaWindowS":10,"retryRatio"`, 1)
		want, err := Parse([]byte(conf))
		is.NoErr(err)
		for _, form := range []string{".0", ".3", "e0"} {
			s, err := Parse([]byte(strings.Replace(conf, part, field+":"+number+form, 1)))
			is.NoErr(err)
			is.Equal(s, want)
		}
		for _, bad := range []string{`"` + number + `"`, "1e300", "-1"} {
			_, err = Parse([]byte(strings.Replace(conf, part, field+":"+bad, 1)))
			is.True(errorx.IsOfType(err, errdefs.Invalid))
		}
	}
	_, err := Parse([]byte(strings.Replace(validOnPlatform, `"heartbeatMs"`, `"heartBeat":1,"heartbeatMs"`, 1)))
	is.True(errorx.IsOfType(err, errdefs.Invalid)) // unknown fields are refused here as well
}

// Guards against a deployment template with a field that Settings does not have:
// no node of the fleet would start.
func TestDeployTemplateParses(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("../deploy/node.json")
	is.NoErr(err)
	values := strings.NewReplacer(
		"{{node}}", "sask-a-1", "{{region}}", "sask", "{{zone}}", "sask-a", "{{service}}", "floor",
		"{{app_addr}}", "10.0.0.1:80",
		"{{listen.outbound}}", "10.0.0.1:1", "{{listen.inbound}}", "10.0.0.1:2", "{{listen.control}}", "10.0.0.1:5",
		"{{listen.ready}}", "10.0.0.1:7", "{{ip}}", "10.0.0.1", "{{port_range.0}}", "3", "{{port_range.1}}", "4",
		"{{platform.address}}", "10.0.9.9:6", `{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, `"10.0.0.2:5", "10.0.0.3:5"`,
	).Replace(string(b))
	optional := regexp.MustCompile(`\{\{#bounds\.[a-z_]+\}\}(.*?)\{\{/bounds\.[a-z_]+\}\}`)
	// The platform scales some bounds with the number of instances and does not round them.
	values = strings.Replace(values, "{{bounds.retry_slack}}", "36.82", 1)
	for _, content := range []string{"", "$1"} { // deployments without and with the optional bounds
		filled := optional.ReplaceAllString(values, content)
		filled = regexp.MustCompile(`\{\{[a-z_.]+\}\}`).ReplaceAllString(filled, "1")
		s, err := Parse([]byte(filled))
		is.NoErr(err)
		is.Equal(len(s.Seeds), 2)
		is.Equal(s.Platform.RetrySlack, 36.82)
		is.Equal(s.Platform.QuotaSlack > 0, content != "")
	}
}
