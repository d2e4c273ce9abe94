package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachioford.example/core/document"
	"pistachioford.example/core/model"
	"pistachioford.example/pistachioford/operate"
	"pistachioford.example/pistachioford/settings"
)

// Guards against example documents and settings that are no longer valid or that
// no longer have the sizes of section 1.1 of the design.
func TestExamples(t *testing.T) {
	for _, user := range []string{"kolebe", "ceiba"} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			c, err := document.Compile(1, readSections(is, user))
			is.NoErr(err)
			is.Equal(len(c.Regions), 3)
			is.Equal(len(c.Zones), 6)
			is.Equal(len(c.Services), 4)
			is.Equal(len(c.Links), 6)
			sizes := map[int]int{}
			for _, g := range c.Groups {
				count := 0
				for _, targets := range g.Targets {
					is.True(len(targets) > 0) // each group has targets in each zone
					count += len(targets)
				}
				sizes[count]++
			}
			is.Equal(sizes, map[int]int{20: 1, 12: 3})
			checkSettings(is, user, c)
		})
	}
}

// readSections reads the sections of a user's document.
func readSections(is *is.I, user string) []document.Section {
	files, err := filepath.Glob(filepath.Join(user, "sections", "*.toml"))
	is.NoErr(err)
	var sections []document.Section
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		sections = append(sections, document.Section{Name: name, Team: name, File: file, Text: string(text)})
	}
	return sections
}

// Guards against a document.toml that differs from the files in sections.
func TestWholeDocument(t *testing.T) {
	for _, user := range []string{"kolebe", "ceiba"} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			whole, err := operate.ReadDocumentFiles([]string{filepath.Join(user, "document.toml")})
			is.NoErr(err)
			_, err = operate.Check(whole)
			is.NoErr(err)
			texts := map[string]string{}
			for _, f := range whole {
				_, text, _ := strings.Cut(strings.TrimLeft(f.Text, "\n"), "\n")
				texts[f.Name] = strings.TrimSpace(text)
			}
			sections := readSections(is, user)
			is.Equal(len(texts), len(sections))
			for _, s := range sections {
				text := strings.Replace(s.Text, `"clients.csv"`, `"sections/clients.csv"`, 1)
				is.Equal(texts[s.Name], strings.TrimSpace(text))
			}
		})
	}
}

// checkSettings checks that the settings of all instances are valid and that
// each zone has one instance per shard.
func checkSettings(is *is.I, user string, c *document.Compiled) {
	files, err := filepath.Glob(filepath.Join(user, "settings", "*.toml"))
	is.NoErr(err)
	is.Equal(len(files), 12)
	instances := map[string]int{}
	addresses := map[string]bool{}
	for _, file := range files {
		s, err := settings.Load(file)
		is.NoErr(err)
		instances[s.Zone]++
		is.True(!addresses[s.Addresses.Callers]) // no two instances share a callers' address
		addresses[s.Addresses.Callers] = true
	}
	for _, z := range c.Zones {
		is.Equal(instances[z.Name], int(z.Shards))
	}
}

// BenchmarkCompile measures the compilation that each document change costs an
// instance.
func BenchmarkCompile(b *testing.B) {
	sections := readSections(is.New(b), "kolebe")
	for b.Loop() {
		if _, err := document.Compile(1, sections); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against load descriptions that are no longer valid, or under which the
// steering engine serves less than half of the requests in time even after the
// cold start.
func TestLoads(t *testing.T) {
	for _, user := range []string{"kolebe", "ceiba"} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(user, "load.toml")
			text, err := os.ReadFile(file)
			is.NoErr(err)
			plan, err := model.Parse(file, string(text))
			is.NoErr(err)
			is.Equal(len(plan.Services), 4)
			plan.Length = 12 * time.Second
			result := model.Run(plan, model.PolicyEngine, 1)
			is.True(result.Seconds[11].InTimeShare() >= 0.5)
		})
	}
}
