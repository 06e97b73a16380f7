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

// settingsCheckInterval is the interval at which a node checks its settings
// file for changes that no signal announced.
const settingsCheckInterval = 2 * time.Second

// Reloader reloads the settings of a running node.
type Reloader struct {
	node  *Node
	path  string
	stamp fileStamp
}

// fileStamp identifies a state of a file by its modification time and size in
// bytes.
type fileStamp struct {
	modified time.Time
	size     int64
}

// NewReloader returns a reloader for a node whose settings are in the file
// path.
func NewReloader(n *Node, path string) *Reloader {
	return &Reloader{node: n, path: path, stamp: stampOf(path)}
}

// Run reloads the settings after each signal and each change of the file, until
// ctx ends. Invalid settings are logged and not applied.
func (r *Reloader) Run(ctx context.Context, hup <-chan os.Signal) {
	tick := time.NewTicker(settingsCheckInterval)
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

// reload loads the file and applies the settings that can change at run time.
func (r *Reloader) reload(reason string) {
	r.stamp = stampOf(r.path)
	next, err := settings.Load(r.path)
	if err != nil {
		r.node.log.Error(err, telemetry.EventReloadFail, "reason", reason)
		return
	}
	changed := changedFields(r.node.liveSettings.Load(), next)
	r.node.liveSettings.Store(next)
	r.node.log.Info(telemetry.EventReload, "reason", reason, "changed", changed)
}

// stampOf returns the stamp of a file, or the zero stamp when it cannot be
// read.
func stampOf(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}

// changedFields returns the sorted names of the fields that differ, down to the
// second level.
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

// fieldsOf returns the values of the fields by name: section.field for the
// fields of a section.
func fieldsOf(s *settings.Settings) map[string]any {
	fields := make(map[string]any)
	b, err := json.Marshal(s)
	if err != nil {
		return fields // does not happen: every type in Settings can be encoded
	}
	var top map[string]any
	_ = json.Unmarshal(b, &top) // cannot fail: b was just encoded
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
