package cli

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"siskingw/admin"
)

// rolloutCommand implements "rollout", which shows the roll-outs of target versions.
type rolloutCommand struct{ routes bool }

func (*rolloutCommand) name() string     { return "rollout" }
func (*rolloutCommand) synopsis() string { return "show the roll-outs of target versions" }
func (*rolloutCommand) usage() string {
	return `[-routes] [SERVICE ...]

Shows phase, calls, verdict and reason of the latest roll-out of each service as
the asked node knows them. -routes shows the evidence by route.`
}

func (c *rolloutCommand) flags(f *flag.FlagSet) {
	f.BoolVar(&c.routes, "routes", false, "show the evidence by route")
}

func (c *rolloutCommand) run(ctx context.Context, e *env, args []string) error {
	all, err := e.client.Rollouts(ctx)
	if err != nil {
		return err
	}
	out := admin.Rollouts{Node: all.Node, Rollouts: []admin.Rollout{}}
	for _, r := range all.Rollouts {
		if len(args) == 0 || slices.Contains(args, r.Service) {
			out.Rollouts = append(out.Rollouts, r)
		}
	}
	if c.routes {
		return e.print(out, rolloutRouteRows(out))
	}
	return e.print(out, rolloutRows(out))
}

// rolloutRows returns one row for each roll-out. The first row is the header.
func rolloutRows(out admin.Rollouts) [][]string {
	rows := [][]string{{"SERVICE", "FROM", "TO", "PHASE", "TARGETS", "VERDICT", "BAD ANSWERS", "NODE'S CALLS", "DECIDED BY", "REASON"}}
	for _, r := range out.Rollouts {
		phase := r.Phase
		if r.SharePercent > 0 {
			phase += " " + strconv.Itoa(r.SharePercent) + "%"
		}
		rows = append(rows, []string{
			r.Service, r.Base, r.Version, phase, fmt.Sprintf("%d new, %d old", r.NewTargets, r.OldTargets), r.Verdict,
			fmt.Sprintf("%d of %d", r.BadAnswers, r.Answers), fmt.Sprintf("%d of %d", r.NodeNewCalls, r.NodeCalls),
			strings.Join(r.Deciders, " "), r.Reason,
		})
	}
	return rows
}

// rolloutRouteRows returns one row for each route of each roll-out. The first row is
// the header.
func rolloutRouteRows(out admin.Rollouts) [][]string {
	rows := [][]string{{"SERVICE", "ROUTE", "VERDICT", "BAD ANSWERS", "OLD VERSION", "RATIO"}}
	for _, r := range out.Rollouts {
		for _, v := range r.Routes {
			rows = append(rows, []string{
				r.Service, v.Route, v.Verdict, fmt.Sprintf("%d of %d", v.BadAnswers, v.Answers),
				fmt.Sprintf("%.0f%% of %d", 100*v.ControlShare, v.ControlAnswers), strconv.FormatFloat(v.Ratio, 'f', 1, 64),
			})
		}
	}
	return rows
}
