package operate

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/iter"

	"pistachioford.example/core/model"
)

// ModelRequest asks for simulation runs of a load.
type ModelRequest struct {
	File string
	// Seed is the seed of the first run; each further run uses the next number.
	Seed uint64
	Runs int
}

// maxModelRuns bounds the runs of one command.
const maxModelRuns = 1000

// ModelReport compares the decisions of the engine with random placement under
// the same load.
type ModelReport struct {
	File   string        `json:"file"`
	Seed   uint64        `json:"seed"`
	Runs   int           `json:"runs"`
	Engine *model.Result `json:"engine"`
	Random *model.Result `json:"random"`
}

// Model simulates the load of a file in virtual time, once with each policy per
// seed, and returns the merged results of each policy.
func Model(ctx context.Context, request ModelRequest) (*ModelReport, error) {
	if request.Runs < 1 || request.Runs > maxModelRuns {
		return nil, refusef("--runs must be from 1 to %d", maxModelRuns)
	}
	text, err := os.ReadFile(request.File)
	if err != nil {
		return nil, eris.Wrap(err, "step=read-model")
	}
	plan, err := model.Parse(request.File, string(text))
	if err != nil {
		return nil, err
	}
	report := &ModelReport{File: request.File, Seed: request.Seed, Runs: request.Runs}
	for policy, result := range map[model.Policy]**model.Result{
		model.PolicyEngine: &report.Engine, model.PolicyRandom: &report.Random,
	} {
		seeds := make([]uint64, request.Runs)
		for i := range seeds {
			seeds[i] = request.Seed + uint64(i)
		}
		results := iter.Map(seeds, func(seed *uint64) *model.Result {
			if ctx.Err() != nil {
				return nil
			}
			return model.Run(plan, policy, *seed)
		})
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		*result = model.Merge(results)
	}
	return report, nil
}
