package operate

import (
	"pistachioford.example/core/document"
)

// CheckResult counts what a valid document defines.
type CheckResult struct {
	Files    []string `json:"files"`
	Regions  int      `json:"regions"`
	Zones    int      `json:"zones"`
	Groups   int      `json:"groups"`
	Services int      `json:"services"`
	Targets  int      `json:"targets"`
}

// Check validates files as one document, together with the file of client
// blocks that it names. It changes nothing.
func Check(files []File) (*CheckResult, error) {
	c, index, err := document.CompileWithIndex(1, sectionsOf(files))
	if err != nil {
		return nil, err
	}
	if err := checkBlocksFile(c, index); err != nil {
		return nil, err
	}
	checked := &CheckResult{
		Regions: len(c.Regions), Zones: len(c.Zones), Groups: len(c.Groups),
		Services: len(c.Services), Targets: len(c.Targets),
	}
	for _, f := range files {
		checked.Files = append(checked.Files, f.File)
	}
	return checked, nil
}
