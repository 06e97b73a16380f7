package node

import (
	"context"
	"encoding/json"
	"os"
	"reflect"
	"slices"
	"time"

	"siskingw/settings"
	"siskingw/telemetry"
)

// settingsCheck is the period at which a node looks whether its settings file
// has changed without a signal.
const settingsCheck = 2 * time.Second

// Reloader takes new settings while the node runs.
type Reloader struct {
	node  *Node
	path  string
	stamp fileStamp
}

// fileStamp tells two states of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

// NewReloader returns the reloader of a node whose settings are in a file.
func NewReloader(n *Node, path string) *Reloader {
	return &Reloader{node: n, path: path, stamp: stampOf(path)}
}

// Run reloads the settings after each signal and each change of the file, until
// ctx ends. Settings that are not valid change nothing.
func (r *Reloader) Run(ctx context.Context, hup <-chan os.Signal) {
	tick := time.NewTicker(settingsCheck)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.reload("signal")
		case <-tick.C:
			if stampOf(r.path) != r.stamp {
				r.reload("file changed")
			}
		}
	}
}

// reload reads the file and takes what can change in a running node.
func (r *Reloader) reload(reason string) {
	r.stamp = stampOf(r.path)
	next, err := settings.Load(r.path)
	if err != nil {
		r.node.log.Error(err, telemetry.EventReloadFail, "reason", reason)
		return
	}
	changed := changedFields(r.node.live.Load(), next)
	r.node.live.Store(next)
	r.node.log.Info(telemetry.EventReload, "reason", reason, "changed", changed)
}

// stampOf returns the zero stamp for a file that cannot be read.
func stampOf(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// changedFields names the fields, down to the second level, that differ.
func changedFields(old, next *settings.Settings) []string {
	a, b := fieldsOf(old), fieldsOf(next)
	changed := []string{}
	for name := range b {
		if !reflect.DeepEqual(a[name], b[name]) {
			changed = append(changed, name)
		}
	}
	for name := range a {
		if _, ok := b[name]; !ok {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

func fieldsOf(s *settings.Settings) map[string]any {
	fields := make(map[string]any)
	b, err := json.Marshal(s)
	if err != nil {
		return fields // settings hold nothing that cannot be encoded
	}
	var top map[string]any
	_ = json.Unmarshal(b, &top) // just encoded
	for name, v := range top {
		section, ok := v.(map[string]any)
		if !ok {
			fields[name] = v
			continue
		}
		for field, v := range section {
			fields[name+"."+field] = v
		}
	}
	return fields
}
