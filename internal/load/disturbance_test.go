package load

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bronzereach/bronzereach/pkg/document"
)

// poolDocument is a document with one pool; the verb stands for its upstreams.
const poolDocument = `name = "test"
[[rank]]
name = "urgent"
[[pool]]
name = "orders"
slots = 4
connections = 40
upstreams = [%s]
[[kind]]
name = "order"
rank = "urgent"
pool = "orders"
deadline = "1s"
hedge = "0%%"
`

// planText is a plan for poolDocument that lacks its disturbances.
const planText = `document = "document.toml"
nodes = 2
zones = 1
memoryMegabytes = 71
warmup = "200ms"
duration = "3s"
serviceTime = "20ms"
[[stream]]
kind = "order"
load = "30%"
`

// readTestPlan reads a plan for a pool of the given number of upstreams.
func readTestPlan(t *testing.T, upstreams int, disturbances string) (Plan, error) {
	t.Helper()
	addresses := make([]string, upstreams)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("%q", fmt.Sprintf("10.0.0.%d:80", i+1))
	}
	folder := t.TempDir()
	for name, text := range map[string]string{
		"document.toml": fmt.Sprintf(poolDocument, strings.Join(addresses, ", ")),
		"plan.toml":     planText + disturbances,
	} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return ReadPlan(filepath.Join(folder, "plan.toml"))
}

// TestDisturbancesThatCannotBePlayed: a plan that names what the tool would not play is
// refused.
func TestDisturbancesThatCannotBePlayed(t *testing.T) {
	for name, text := range map[string]string{
		"unknown effect":          "share = \"30%\"\neffect = \"leaving\"",
		"share of none":           "share = \"0%\"\neffect = \"slow\"",
		"share above all":         "share = \"101%\"\neffect = \"slow\"",
		"share and service":       "share = \"30%\"\nservice = \"orders\"\nreplica = 1\neffect = \"slow\"",
		"neither":                 "effect = \"slow\"",
		"unknown service":         "service = \"order\"\nreplica = 1\neffect = \"slow\"",
		"unknown replica":         "service = \"orders\"\nreplica = 4\neffect = \"slow\"",
		"delay without a shed":    "share = \"30%\"\neffect = \"tellLeaving\"\nretryAfter = \"1s\"",
		"delay that is no time":   "share = \"30%\"\neffect = \"shed\"\nretryAfter = \"soon\"",
		"listed without a leave":  "share = \"30%\"\neffect = \"shed\"\nlisted = true",
		"end of a leave":          "share = \"30%\"\neffect = \"leave\"\nto = \"1s\"",
		"end that is not after":   "share = \"30%\"\neffect = \"shed\"\nat = \"1s\"\nto = \"1s\"",
		"key that does not exist": "share = \"30%\"\neffect = \"shed\"\nuntil = \"1s\"",
	} {
		if _, err := readTestPlan(t, 3, "[[disturbance]]\n"+text+"\n"); err == nil {
			t.Errorf("%s: the plan was accepted", name)
		}
	}
	plan, err := readTestPlan(t, 3, "[[disturbance]]\nshare = \"30%\"\neffect = \"shed\"\nretryAfter = \"1500ms\"\nat = \"1s\"\n")
	if err != nil || plan.Disturbances[0] != (Disturbance{Share: 0.3, Effect: Shed, RetryAfter: 1500 * time.Millisecond, At: time.Second, To: 3 * time.Second}) {
		t.Errorf("%+v %v", plan.Disturbances, err)
	}
}

// TestExamplePlansAreRead: every example that is no document is a plan.
func TestExamplePlansAreRead(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*[a-z][A-Z]*.toml")
	if err != nil || len(paths) < 10 {
		t.Fatalf("%q %v", paths, err)
	}
	plans := 0
	for _, path := range paths {
		if filepath.Base(path) == "blueMountain.toml" {
			continue
		}
		plans++
		if _, err := ReadPlan(path); err != nil {
			t.Error(err)
		}
	}
	if plans < 10 {
		t.Errorf("only %d plans", plans)
	}
}

// TestSharesAreDisjointAndEven: shares take as many upstreams as they say, none twice, and
// of two services of one size never two more of the one.
func TestSharesAreDisjointAndEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		plan := Plan{Document: &document.Document{}}
		for i := range rapid.IntRange(1, 12).Draw(t, "services") {
			service := document.Service{Name: fmt.Sprint(i), Upstreams: make([]string, size)}
			plan.Document.Services = append(plan.Document.Services, service)
		}
		total := float64(size * len(plan.Document.Services))
		for range rapid.IntRange(1, 3).Draw(t, "shares") {
			plan.Disturbances = append(plan.Disturbances, Disturbance{Share: rapid.Float64Range(0.01, 0.33).Draw(t, "share")})
		}
		named := disturbed{service: "0", position: 0}
		withNamed := rapid.Bool().Draw(t, "withNamed")
		if withNamed {
			plan.Disturbances = append(plan.Disturbances, Disturbance{Service: named.service, Replica: 1})
		}
		taken, byService := map[disturbed]bool{}, map[string]int{}
		for i, chosen := range plan.chooseDisturbed(rapid.Uint64().Draw(t, "seed")) {
			want := plan.Disturbances[i].Share * total
			if plan.Disturbances[i].Share > 0 && math.Abs(float64(len(chosen))-want) > 1.5 {
				t.Errorf("%d upstreams, want %.1f", len(chosen), want)
			}
			for _, u := range chosen {
				if taken[u] {
					t.Errorf("%+v is taken twice", u)
				}
				taken[u] = true
				byService[u.service]++
			}
		}
		least, most := size, 0
		for _, service := range plan.Document.Services {
			least, most = min(least, byService[service.Name]), max(most, byService[service.Name])
		}
		if most-least > 1 && !withNamed {
			t.Errorf("the services have %d to %d disturbed upstreams", least, most)
		}
	})
}
