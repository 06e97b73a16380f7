//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// fields are the settings of a process as the platform states them, in one plain table.
type fields map[string]any

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+|\.)(\|json)?\}\}`)
)

// render fills a template of settings in. It supports what deploy/node.json uses:
// values, and sections that are not nested.
func render(template string, f fields) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		v := f.lookup(m[2])
		if m[1] == "^" {
			if v == nil || v == false {
				return m[3]
			}
			return ""
		}
		list, ok := v.([]string)
		switch {
		case v == nil || v == false:
			return ""
		case !ok:
			return strings.ReplaceAll(m[3], "{{.}}", text(v))
		}
		var out strings.Builder
		for i, item := range list {
			entry := strings.ReplaceAll(m[3], "{{.}}", item)
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			out.WriteString(strings.ReplaceAll(entry, "{{,}}", comma))
		}
		return out.String()
	})
	return valuePattern.ReplaceAllStringFunc(template, func(s string) string {
		v := f.lookup(valuePattern.FindStringSubmatch(s)[1])
		if v == nil {
			return ""
		}
		return text(v)
	})
}

// lookup returns the value at a path such as "listen.outbound", or nil.
func (f fields) lookup(path string) any {
	var v any = map[string]any(f)
	for part := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[part]
		case []string:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(t) {
				return nil
			}
			v = t[i]
		default:
			return nil
		}
	}
	return v
}

func text(v any) string {
	switch t := v.(type) {
	case string:
		return t
	case []string:
		return strings.Join(t, ",")
	case map[string]any:
		b, err := json.Marshal(t)
		if err != nil {
			panic(err) // the rig built the table
		}
		return string(b)
	}
	return fmt.Sprint(v)
}
