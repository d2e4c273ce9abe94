package operate

import (
	"strings"
)

// splitFile splits the text of a file into its sections. In a file with several
// sections, each starts with its version marker. The text of each further
// section is preceded by empty lines, so that errors give line numbers of the
// file.
func splitFile(text string) []string {
	var starts []int
	for _, found := range markerPattern.FindAllStringIndex(text, -1) {
		starts = append(starts, found[0])
	}
	if len(starts) < 2 || starts[0] != 0 {
		return []string{text}
	}
	parts := make([]string, len(starts))
	for i, start := range starts {
		end := len(text)
		if i+1 < len(starts) {
			end = starts[i+1]
		}
		parts[i] = strings.Repeat("\n", strings.Count(text[:start], "\n")) + text[start:end]
	}
	return parts
}
