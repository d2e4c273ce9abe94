package operate

import (
	"strings"
)

// splitFile returns the sections of a file. A file with several sections starts
// each of them with its mark. The text of a later section is preceded by empty
// lines, so that errors name the lines of the file.
func splitFile(text string) []string {
	var starts []int
	for _, found := range sectionMark.FindAllStringIndex(text, -1) {
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
