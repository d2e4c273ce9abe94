package demo

import (
	"fmt"
	"strings"
)

// regions are the regions of the sample document. Each has zonesPerRegion
// availability zones.
var regions = []string{"gauteng", "kzn", "wcape"}

const zonesPerRegion = 2

// groups are the target groups of the sample document, with the number of
// targets in each zone.
var groups = []struct {
	name    string
	targets int
}{{"stock", 2}, {"orders", 2}, {"documents", 1}}

func zoneName(region string, index int) string {
	return fmt.Sprintf("%s-%c", region, 'a'+index)
}

// networkText returns the section with regions, zones and links.
func networkText() string {
	var text strings.Builder
	text.WriteString("[document]\nlookup_ttl = \"10s\"\n")
	for _, region := range regions {
		fmt.Fprintf(&text, "[[region]]\nname = %q\n", region)
		for i := range zonesPerRegion {
			fmt.Fprintf(&text, "[[zone]]\nname = %q\nregion = %q\nshards = 2\n", zoneName(region, i), region)
		}
	}
	for _, from := range regions {
		for _, to := range regions {
			if from != to {
				fmt.Fprintf(&text, "[[link]]\nfrom = %q\nto = %q\nbudget = \"400MB/s\"\ndelay = \"35ms\"\n", from, to)
			}
		}
	}
	return text.String()
}

// servicesText returns the section with the services and their groups.
func servicesText() string {
	var text strings.Builder
	for _, g := range groups {
		fmt.Fprintf(&text, "[[group]]\nname = %q\nshed_statuses = [429, 503]\n", g.name)
	}
	text.WriteString(`[[service]]
name = "stock-lookup"
path_prefix = "/stock"
group = "stock"
priority = "urgent"
deadline = "30s"
idempotent = true
response_size = "4KiB"
[[service]]
name = "order-placement"
path_prefix = "/orders"
group = "orders"
priority = "normal"
deadline = "30s"
idempotent = false
response_size = "4KiB"
[[service]]
name = "document-upload"
path_prefix = "/documents"
group = "documents"
priority = "background"
deadline = "60s"
idempotent = false
response_size = "4KiB"
`)
	return text.String()
}

// targetsText returns the section that lists the sample upstreams as targets.
func targetsText(upstreams []*sampleUpstream) string {
	var text strings.Builder
	for _, s := range upstreams {
		fmt.Fprintf(&text, "[[target]]\nname = %q\ngroup = %q\nzone = %q\naddress = %q\nslots = 3\nconnections = 400\n",
			s.name, s.group, s.zone, s.address())
	}
	return text.String()
}
