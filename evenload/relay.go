package evenload

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxRelayed is the number of targets about which a message between two
	// instances of one failure domain carries news, about 30 bytes each. By model
	// the mean wait at high load is 153, 141 and 80 ms with 2, 4 and 8, and is the
	// same with all three at usual load.
	MaxRelayed = 4
	// MaxRelayedAge is the age from which news is not passed on.
	MaxRelayedAge = time.Second
)

// Item is news about one target as it is passed on between instances.
type Item struct {
	ID          string          // of the target's instance
	Ahead       [Priorities]int // calls ahead of a new call, by its priority
	ServiceTime time.Duration   // expected service time of all calls
	Age         time.Duration
}

// Item returns the news about the target of an instance as it is passed on at now.
func (n *News) Item(id string, now int64) Item {
	it := Item{ID: id, ServiceTime: time.Duration(n.ServiceTime), Age: time.Duration(max(now-n.At, 0))}
	for i, a := range n.Ahead {
		it.Ahead[i] = int(a)
	}
	return it
}

// News returns the item as news that arrived at now. own is the number of the
// reader's calls in flight at that target.
func (it Item) News(now, own int64) *News {
	n := &News{ServiceTime: float64(it.ServiceTime), At: now - int64(it.Age), Own: own}
	for i, a := range it.Ahead {
		n.Ahead[i] = float64(a)
	}
	return n
}

// Newest returns the newest items that are worth passing on, MaxRelayed at most.
// It reorders items.
func Newest(items []Item) []Item {
	items = slices.DeleteFunc(items, func(it Item) bool { return it.Age >= MaxRelayedAge })
	slices.SortFunc(items, func(x, y Item) int { return cmp.Compare(x.Age, y.Age) })
	return items[:min(len(items), MaxRelayed)]
}

// itemFieldCount is the number of fields of an encoded item.
const itemFieldCount = Priorities + 3

// Encode returns the items as header text: items separated by commas, and their
// fields by semicolons: instance, for each priority the calls ahead of a new one,
// service time in ms and age in ms. Instances whose names contain a separator are
// left out.
func Encode(items []Item) string {
	var b []byte
	for _, it := range items {
		if it.ID == "" || strings.ContainsAny(it.ID, ",; \t\r\n") {
			continue
		}
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = append(append(b, it.ID...), ';')
		for _, n := range it.Ahead {
			b = append(strconv.AppendInt(b, int64(n), 10), ';')
		}
		b = append(strconv.AppendInt(b, it.ServiceTime.Milliseconds(), 10), ';')
		b = strconv.AppendInt(b, it.Age.Milliseconds(), 10)
	}
	return string(b)
}

// Decode parses header text and returns its valid items, 2 * MaxRelayed at most.
func Decode(v string) []Item {
	var items []Item
	for part := range strings.SplitSeq(v, ",") {
		if len(items) == 2*MaxRelayed {
			break
		}
		if it, ok := decodeItem(part); ok {
			items = append(items, it)
		}
	}
	return items
}

// decodeItem parses one item. Values that no instance states make it invalid.
func decodeItem(s string) (it Item, ok bool) {
	const maxValue = 1_000_000
	fields := strings.Split(s, ";")
	if len(fields) != itemFieldCount || fields[0] == "" {
		return Item{}, false
	}
	var n [itemFieldCount]int
	for i, f := range fields[1:] {
		v, err := strconv.Atoi(f)
		if err != nil || v < 0 || v > maxValue {
			return Item{}, false
		}
		n[i] = v
	}
	it = Item{ID: fields[0], ServiceTime: time.Duration(n[Priorities]) * time.Millisecond,
		Age: time.Duration(n[Priorities+1]) * time.Millisecond}
	copy(it.Ahead[:], n[:Priorities])
	return it, it.ServiceTime > 0
}
