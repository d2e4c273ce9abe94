package operate

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"pistachioford.example/core/blocks"
	"pistachioford.example/core/document"
	"pistachioford.example/core/toml"
	"pistachioford.example/pistachioford/tables"
)

// maxUploadAttempts bounds the attempts to store one object. A retry is safe,
// since the name of an object is the hash of its content.
const maxUploadAttempts = 3

// UploadRequest asks for client blocks to be uploaded and made active.
type UploadRequest struct {
	// File is the name of a CSV file with lines of the form prefix,site.
	File      string
	Token     string
	Operation string
}

// UploadResult is the result of an upload.
type UploadResult struct {
	ChangeResult
	Manifest string `json:"manifest"`
	Blocks   int    `json:"blocks"`
	Chunks   int    `json:"chunks"`
	// StoredChunks is the number of uploaded chunks: those that the previous
	// manifest did not list.
	StoredChunks int `json:"stored"`
}

// Upload splits a file of client blocks into chunks, stores those that the
// active manifest does not list, and edits the section that names the manifest.
// It returns a ConflictError if another upload was made in the meantime.
func (o *Operator) Upload(ctx context.Context, request UploadRequest) (*UploadResult, error) {
	s, err := o.readSnapshot(ctx, request.Operation)
	if err != nil {
		return nil, err
	}
	if s.index == nil || s.index.Blocks == nil {
		return nil, refusef("no section has a table [blocks]; add one that names the file, and apply it first")
	}
	if err := s.authorize(request.Token, []document.Section{s.sections[s.sectionIndex(s.index.Blocks.Origin.Section)]}); err != nil {
		return nil, err
	}
	previous, err := o.readManifest(ctx, s.compiled.BlocksManifest)
	if err != nil {
		return nil, err
	}
	result, err := buildBlocks(request.File, previous, s.compiled)
	if err != nil {
		return nil, err
	}
	u := &UploadResult{Chunks: len(result.Manifest.Chunks)}
	for _, c := range result.Manifest.Chunks {
		u.Blocks += c.Blocks
	}
	if err := o.storeObjects(ctx, previous, result, u); err != nil {
		return nil, err
	}
	changed, err := o.change(ctx, changeRequest{
		operation: request.Operation,
		token:     request.Token,
		edit: func(current *snapshot) ([]document.Section, error) {
			return o.setManifest(ctx, s, current, u.Manifest)
		},
	})
	if err != nil {
		return nil, err
	}
	u.ChangeResult = *changed
	return u, nil
}

// storeObjects stores the missing chunks, and then the manifest that lists
// them.
func (o *Operator) storeObjects(ctx context.Context, previous *blocks.Manifest, result *blocks.BuildResult, u *UploadResult) error {
	missing := blocks.Diff(previous, result.Manifest)
	for _, hash := range missing {
		if err := o.putObject(ctx, blocks.ObjectName(hash), result.Chunks[hash]); err != nil {
			return err
		}
	}
	data, hash := result.Manifest.Encode()
	u.Manifest, u.StoredChunks = blocks.ObjectName(hash), len(missing)
	return o.putObject(ctx, u.Manifest, data)
}

func (o *Operator) putObject(ctx context.Context, name string, data []byte) error {
	var err error
	for attempt := range maxUploadAttempts {
		if attempt > 0 {
			o.sleep(ctx, retryDelay(attempt))
		}
		if err = o.platform.PutObject(ctx, name, data); err == nil {
			return nil
		}
	}
	return eris.Wrapf(err, "step=upload object=%s", name)
}

// setManifest returns the section with the table [blocks], edited to name the
// manifest.
func (o *Operator) setManifest(ctx context.Context, before, current *snapshot, manifest string) ([]document.Section, error) {
	if current.index.Blocks == nil {
		return nil, refusef("the table [blocks] was removed during the upload; the document was not changed")
	}
	origin := current.index.Blocks.Origin
	i := current.sectionIndex(origin.Section)
	if current.compiled.BlocksManifest != before.compiled.BlocksManifest && current.compiled.BlocksManifest != manifest {
		base := uint64(0)
		if j := before.sectionIndex(origin.Section); j >= 0 {
			base = before.head.Sections[j].Version
		}
		return nil, o.newConflictError(ctx, current, origin.Section, base, current.head.Sections[i].Version)
	}
	section := current.sections[i]
	text, err := setKey(section.Text, origin.Line, "blocks", "manifest", `"`+manifest+`"`)
	section.Text = text
	return []document.Section{section}, err
}

// readManifest reads a manifest from the object store; it returns nil for an
// empty name.
func (o *Operator) readManifest(ctx context.Context, name string) (*blocks.Manifest, error) {
	if name == "" {
		return nil, nil
	}
	data, err := o.platform.GetObject(ctx, name)
	if err != nil {
		return nil, eris.Wrapf(err, "step=read-manifest object=%s", name)
	}
	m, err := blocks.DecodeManifest(strings.TrimPrefix(name, blocks.ObjectName("")), data)
	return m, eris.Wrapf(err, "step=read-manifest")
}

// checkManifest returns an error if the manifest of a document is missing, or
// names sites that the document does not define. It skips the read if neither
// the manifest nor the sites changed.
func (o *Operator) checkManifest(ctx context.Context, active, next *document.Compiled, index *document.Index) error {
	if next.BlocksManifest == "" || active != nil && active.BlocksManifest == next.BlocksManifest && slices.Equal(siteNames(active), siteNames(next)) {
		return nil
	}
	origin := index.Blocks.Origin
	var errs toml.ErrorList
	m, err := o.readManifest(ctx, next.BlocksManifest)
	if errors.Is(err, tables.ErrNotFound) {
		errs.Addf(origin.File, origin.Line, "blocks.manifest", "%s is not in the object store; upload it with pistachioctl blocks", next.BlocksManifest)
		return errs.Err()
	}
	if err != nil {
		return err
	}
	for _, site := range m.Sites {
		if !slices.Contains(siteNames(next), site) {
			errs.Addf(origin.File, origin.Line, "blocks.manifest", "the client blocks name site %q, which is not defined", site)
		}
	}
	return errs.Err()
}

func siteNames(c *document.Compiled) []string {
	names := make([]string, len(c.Sites))
	for i := range c.Sites {
		names[i] = c.Sites[i].Name
	}
	return names
}

// buildBlocks reads a file of client blocks and checks it against the sites of
// a document.
func buildBlocks(file string, previous *blocks.Manifest, c *document.Compiled) (*blocks.BuildResult, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "step=read-blocks")
	}
	var errs toml.ErrorList
	result, err := blocks.Build(bytes.NewReader(data), reusableManifest(previous, c))
	for _, lineErr := range lineErrors(err) {
		errs.Addf(file, lineErr.Line, "", "%s", lineErr.Reason)
	}
	if errs.Err() == nil && err != nil {
		return nil, eris.Wrapf(err, "step=read-blocks file=%s", file)
	}
	checkSitesDefined(file, data, siteNames(c), &errs)
	return result, errs.Err()
}

// reusableManifest returns the previous manifest, or nil if it names sites that
// are no longer defined: a manifest built from it would name them too.
func reusableManifest(previous *blocks.Manifest, c *document.Compiled) *blocks.Manifest {
	if previous == nil {
		return nil
	}
	for _, site := range previous.Sites {
		if !slices.Contains(siteNames(c), site) {
			return nil
		}
	}
	return previous
}

// lineErrors returns the errors in err that name a line.
func lineErrors(err error) []*blocks.LineError {
	var lineErrs []*blocks.LineError
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return nil
	}
	for _, e := range joined.Unwrap() {
		var lineErr *blocks.LineError
		if errors.As(e, &lineErr) {
			lineErrs = append(lineErrs, lineErr)
		}
	}
	return lineErrs
}

// checkSitesDefined adds an error for the first line of each site that is not
// defined.
func checkSitesDefined(file string, data []byte, defined []string, errs *toml.ErrorList) {
	known := make(map[string]bool, len(defined))
	for _, site := range defined {
		known[site] = true
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		_, site, ok := strings.Cut(line, ",")
		site = strings.TrimSpace(site)
		if !ok || site == "" || line[0] == '#' || known[site] {
			continue
		}
		known[site] = true
		errs.Addf(file, number, "", "site %.64q is not defined", site)
	}
}

// checkBlocksFile checks the file of client blocks that the table [blocks]
// names, if any. The name is relative to the file of the section.
func checkBlocksFile(c *document.Compiled, index *document.Index) error {
	if index.Blocks == nil || index.Blocks.File == "" {
		return nil
	}
	origin := index.Blocks.Origin
	file := filepath.Join(filepath.Dir(origin.File), index.Blocks.File)
	_, err := buildBlocks(file, nil, c)
	if errors.Is(err, fs.ErrNotExist) {
		var errs toml.ErrorList
		errs.Addf(origin.File, origin.Line, "blocks.file", "%s does not exist", file)
		return errs.Err()
	}
	return err
}
