package config_test

import (
	"fmt"
	"testing"

	"vanillatally/core/config"
)

func BenchmarkRouteByPath(b *testing.B) {
	c := baseConfiguration(b)
	var edits []config.Edit
	for i := range 500 {
		edits = append(edits, config.Edit{Kind: "routes", Name: fmt.Sprintf("r%d", i), Document: fmt.Appendf(nil,
			`{"path-prefix":"/service-%d/part","service":"search","class":"bulk","timeout":"1s"}`, i)})
	}
	c, err := c.WithEdits(edits)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := c.RouteByPath("/service-77/part/of/a/longer/path"); !ok {
			b.Fatal("no route")
		}
	}
}

func BenchmarkTeamByKey(b *testing.B) {
	c := baseConfiguration(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := c.TeamByAPIKey("secret"); !ok {
			b.Fatal("no team")
		}
	}
}
