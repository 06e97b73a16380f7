package node

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"siskingw/buildinfo"
)

// Guards against metrics that do not tell which program a node runs.
func TestMetricsNameTheBuild(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	exportBuild(set)
	var out bytes.Buffer
	set.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), "siskingw_build_info{revision="))
	is.True(strings.Contains(out.String(), "build="+strconv.Quote(buildinfo.Get().ID)))
	is.True(strings.HasSuffix(strings.TrimSpace(out.String()), "} 1"))
}
