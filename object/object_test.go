package object

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
)

const validFile = `{"objects":[
	{"kind":"EndpointSet","name":"floor","spec":{"announce":"auction-floor","minReady":2}},
	{"kind":"Service","name":"floor","spec":{"endpointSet":"floor","policy":"quick","protocol":"http"}},
	{"kind":"Policy","name":"quick","spec":{"timeoutMs":500,"retries":1,"ejection":{"baseMs":100}}},
	{"kind":"Route","name":"bids","spec":{"pathPrefix":"/bids","service":"floor","kind":"bid"}}
]}`

// Guards against objects printed by the get command that the apply command
// cannot read.
func TestCanonicalFormRoundTrips(t *testing.T) {
	is := is.New(t)
	set, err := DecodeFile("good.json", []byte(validFile))
	is.NoErr(err)
	is.Equal(len(set), 4)
	is.NoErr(Validate(set))
	for _, o := range set {
		o.Revision, o.Author = 7, "ann"
		b, err := o.Canonical()
		is.NoErr(err)
		var back Object
		is.NoErr(back.UnmarshalJSON(b))
		again, err := back.Canonical()
		is.NoErr(err)
		is.Equal(string(b), string(again))
		one, err := DecodeFile("one.json", b)
		is.NoErr(err)
		is.True(one[0].SameSpec(o))
	}
}

// Guards against a decoder that stops at the first fault or accepts a field name
// in the wrong case.
func TestDecodeFileReportsEveryFault(t *testing.T) {
	is := is.New(t)
	_, err := DecodeFile("bad.json", []byte(`{"version":1,"objects":[
		{"kind":"Route","name":"a","spec":{"PathPrefix":"/","service":"s","hots":"x"}},
		{"kind":"Rout","name":"b","spec":{}},
		{"kind":"Policy","name":"c"},
		{"kind":"Policy","name":"d","owner":"x","spec":{"retries":"3","ejection":{"max":1}}}
	]}`))
	is.True(errorx.IsOfType(err, errdefs.Invalid))
	var got []string
	for _, f := range FaultsOf(err) {
		is.Equal(f.Source, "bad.json")
		got = append(got, f.Object+" "+f.Field)
	}
	is.Equal(got, []string{
		" version", "Route/a spec.PathPrefix", "Route/a spec.hots", "Rout/b kind", "Policy/c spec",
		"Policy/d owner", "Policy/d spec.ejection.max", "Policy/d spec.retries",
	})
}

// Guards against a missing validation rule: each case makes one field invalid.
func TestValidateReportsObjectAndField(t *testing.T) {
	tooLong := strings.Repeat("n", MaxNameBytes+1)
	cases := []struct{ object, field, replace, with string }{
		{"Service/floor", "spec.endpointSet", `"endpointSet":"floor"`, `"endpointSet":"none"`},
		{"Service/floor", "spec.policy", `"policy":"quick"`, `"policy":"none"`},
		{"Service/floor", "spec.protocol", `"http"`, `"tcp"`},
		{"EndpointSet/floor", "spec.announce", `"auction-floor"`, `""`},
		{"EndpointSet/floor", "spec.announce", `"auction-floor"`, `"` + tooLong + `"`},
		{"EndpointSet/floor", "spec.minReady", `"minReady":2`, `"minReady":-2`},
		{"Service/floor", "spec.maxConnections", `"protocol":"http"`, `"maxConnections":-1`},
		{"Policy/quick", "spec.maxAttempts", `"retries":1`, `"maxAttempts":-1`},
		{"Policy/quick", "spec.maxBodyBytes", `"retries":1`, `"maxBodyBytes":-1`},
		{"Policy/quick", "spec.retries", `"retries":1`, `"retries":4`},
		{"Policy/quick", "spec.queueTimeoutMs", `"retries":1`, `"queueTimeoutMs":501`},
		{"Policy/quick", "spec.idempotentMethods", `"retries":1`, `"idempotentMethods":["POST"]`},
		{"Policy/quick", "spec.idempotentMethods", `"retries":1`, `"idempotentMethods":["GET","GET"]`},
		{"Policy/quick", "spec.ejection.maxPercent", `"baseMs":100`, `"maxPercent":101`},
		{"Route/bids", "spec.pathPrefix", `"/bids"`, `"bids"`},
		{"Route/bids", "spec.pathPrefix", `"/bids"`, `"/a?b"`},
		{"Route/bids", "spec.host", `"kind":"bid"`, `"host":"A:80"`},
		{"Route/bids", "spec.kind", `"kind":"bid"`, `"kind":"sale"`},
		{"Route/bids", "spec.fallback", `"kind":"bid"`, `"fallback":"none"`},
		{"Route/bids", "spec.fallback", `"kind":"bid"`, `"fallback":"bids"`},
		{"Route/bids", "spec.service", `"service":"floor",`, ``},
		{"Route/bids", "spec.unavailable", `"kind":"bid"`, `"unavailable":"no service"`},
		{"Route/bids", "spec.unavailable", `"service":"floor",`, `"unavailable":"` + strings.Repeat("r", MaxReasonBytes+1) + `",`},
		{"Route/bids", "spec.host", `"kind":"bid"`, `"host":"a b"`},
		{"Route/bids", "spec.host", `"kind":"bid"`, `"host":"a/b"`},
		{"Route/", "name", `"name":"bids"`, `"name":""`},
		{"Route/" + tooLong, "name", `"name":"bids"`, `"name":"` + tooLong + `"`},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%.40s %s %.40s", c.object, c.field, c.with), func(t *testing.T) {
			is := is.New(t)
			set, err := DecodeFile("", []byte(strings.Replace(validFile, c.replace, c.with, 1)))
			is.NoErr(err)
			list := FaultsOf(Validate(set))
			is.Equal(len(list), 1)
			is.Equal(list[0].Object, c.object)
			is.Equal(list[0].Field, c.field)
		})
	}
}

// Guards against a fault of a listener under another name than that of its field.
func TestValidateListener(t *testing.T) {
	is := is.New(t)
	set := []*Object{{Kind: KindListener, Name: "l", Listener: &ListenerSpec{
		MaxHeaderBytes: -1, MaxBodyBytes: -1, HeaderTimeoutMs: -1, IdleTimeoutMs: -1}}}
	var got []string
	for _, f := range FaultsOf(Validate(set)) {
		got = append(got, f.Field)
	}
	is.Equal(got, []string{"spec.headerTimeoutMs", "spec.idleTimeoutMs", "spec.maxBodyBytes", "spec.maxHeaderBytes"})
}

// unusualNames are names that are no DNS labels.
var unusualNames = []string{"lot_photos", "Lots", "-bids", "a.b", "..", "lots/photos", "Lots; 100%", "größe", "\u2028",
	"\t\n\x00\x1b[2J", `"<&>"`, strings.Repeat("n", 64), strings.Repeat("n", MaxNameBytes)}

// Guards against a name that a store accepts and a node refuses, or that changes when
// its object is encoded.
func TestNamesOfAnyForm(t *testing.T) {
	for _, name := range unusualNames {
		t.Run(fmt.Sprintf("%.20q", name), func(t *testing.T) {
			is := is.New(t)
			set := []*Object{
				{Kind: KindEndpointSet, Name: name, EndpointSet: &EndpointSetSpec{Announce: name}},
				{Kind: KindService, Name: name, Service: &ServiceSpec{EndpointSet: name}},
				{Kind: KindRoute, Name: name, Route: &RouteSpec{Host: "lot_sales.example", PathPrefix: "/", Service: name}},
				{Kind: KindOrganisation, Name: name, Organisation: &OrganisationSpec{}},
			}
			is.NoErr(Validate(set))
			for _, o := range set {
				b, err := o.Canonical()
				is.NoErr(err)
				is.True(!bytes.ContainsAny(b, "\n")) // a shard holds one object in each line
				var back Object
				is.NoErr(back.UnmarshalJSON(b))
				is.Equal(back.Key(), o.Key())
			}
		})
	}
}

// Guards against a host that is compared in another form than that of its route, so
// that its calls find no route.
func TestNormalizeHost(t *testing.T) {
	is := is.New(t)
	for sent, want := range map[string]string{
		"A.Example": "a.example", "a.example:80": "a.example", "Lot_Sales.example:8080": "lot_sales.example",
		"[::1]": "[::1]", "[2001:DB8::1]:80": "[2001:db8::1]", "": "",
	} {
		is.Equal(NormalizeHost(sent), want)
		is.Equal(NormalizeHost(want), want)
		is.True(want == "" || isHost(want))
	}
}

// Guards against a name that injects lines or control sequences into a terminal.
func TestQuoteUnprintable(t *testing.T) {
	is := is.New(t)
	is.Equal(QuoteUnprintable("größe 1; a/b"), "größe 1; a/b")
	is.Equal(QuoteUnprintable("a\nb\x1b[2J"), `"a\nb\x1b[2J"`)
}

// Guards against missing rules over several objects: duplicate names, two routes
// that match the same requests, and fallback cycles, which are reported for the
// routes of the cycle only.
func TestValidateAcrossObjects(t *testing.T) {
	is := is.New(t)
	route := func(name, prefix, fallback string) *Object {
		return &Object{Kind: KindRoute, Name: name, Route: &RouteSpec{PathPrefix: prefix, Service: "s", Fallback: fallback}}
	}
	set := []*Object{
		{Kind: KindEndpointSet, Name: "s", EndpointSet: &EndpointSetSpec{Announce: "s"}},
		{Kind: KindService, Name: "s", Service: &ServiceSpec{EndpointSet: "s"}},
		route("a", "/a", "b"), route("b", "/b", "c"), route("c", "/c", "b"),
		route("d", "/d", ""), route("d", "/d", "a"), route("e", "/e", "e2"), route("e2", "/e", ""),
	}
	var got []string
	for _, f := range FaultsOf(Validate(set)) {
		got = append(got, f.Object+" "+f.Field)
	}
	is.Equal(got, []string{"Route/b spec.fallback", "Route/c spec.fallback", "Route/d name", "Route/e2 spec.pathPrefix"})
}

// Guards against input that makes the decoder panic, and against a decoded object
// whose canonical encoding changes when it is decoded and encoded again.
func FuzzDecodeFile(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte(`{"kind":"Route","name":"r","spec":{"fallback":"r"}}`))
	f.Add([]byte(`{"objects":[{"kind":"Policy","name":"p","spec":null}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		set, err := DecodeFile("fuzz", b)
		if err != nil {
			if len(FaultsOf(err)) == 0 {
				t.Fatalf("error without faults: %v", err)
			}
			return
		}
		_ = Validate(set)
		for _, o := range set {
			first, err := o.Canonical()
			if err != nil {
				t.Fatal(err)
			}
			var back Object
			if err := back.UnmarshalJSON(first); err != nil {
				t.Fatalf("%s: %v", first, err)
			}
			second, err := back.Canonical()
			if err != nil || string(first) != string(second) {
				t.Fatalf("%s is %s after decoding and encoding (error %v)", first, second, err)
			}
		}
	})
}
