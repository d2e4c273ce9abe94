package operate

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pistachioford.example/core/blocks"
	"pistachioford.example/pistachioford/tables"
	"pistachioford.example/pistachioford/tables/standin"
)

const sitesText = `
[[site]]
name = "durban"
zone = "kzn-a"
[[site]]
name = "umlazi"
zone = "kzn-a"
[blocks]
file = "clients.csv"
`

// startWithSites returns an operator on a document that defines sites and a
// table [blocks].
func startWithSites(t *testing.T) (*standin.Standin, *Operator) {
	t.Helper()
	s, o := startOperator(t)
	network := firstDocument()[0]
	network.Text += sitesText
	if _, err := o.Apply(ctx, ApplyRequest{Files: []File{network}, Base: 1, HasBase: true, Token: "token-network"}); err != nil {
		t.Fatal(err)
	}
	return s, o
}

// writeCSV writes a file of count client blocks. Block i is in the site
// sites[i], or in durban if there is none.
func writeCSV(t *testing.T, count int, sites map[int]string) string {
	t.Helper()
	var b strings.Builder
	for i := range count {
		site := sites[i]
		if site == "" {
			site = "durban"
		}
		fmt.Fprintf(&b, "10.%d.%d.0/24,%s\n", i/256, i%256, site)
	}
	file := filepath.Join(t.TempDir(), "clients.csv")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against an upload whose chunks do not yield the table in the file, and
// against a change of one block that uploads all chunks.
func TestUpload(t *testing.T) {
	is := is.New(t)
	s, o := startWithSites(t)
	const count = 60000
	all, err := o.Upload(ctx, UploadRequest{File: writeCSV(t, count, nil), Token: "token-network"})
	is.NoErr(err)
	is.Equal(all.Blocks, count)
	is.Equal(all.StoredChunks, all.Chunks)
	is.Equal(all.Revision, uint64(3))

	s.SetFaults(standin.Faults{LoseResponses: 1})
	one, err := o.Upload(ctx, UploadRequest{File: writeCSV(t, count, map[int]string{7: "umlazi"}), Token: "token-network"})
	is.NoErr(err)
	is.Equal(one.StoredChunks, 1)
	now, err := o.readSnapshot(ctx, "")
	is.NoErr(err)
	is.Equal(now.compiled.BlocksManifest, one.Manifest)

	m, err := o.readManifest(ctx, one.Manifest)
	is.NoErr(err)
	chunks := map[string]*blocks.Chunk{}
	for _, c := range m.Chunks {
		data, err := o.platform.GetObject(ctx, blocks.ObjectName(c.Hash))
		is.NoErr(err)
		chunks[c.Hash], err = blocks.DecodeChunk(c.Hash, data)
		is.NoErr(err)
	}
	table, err := blocks.NewTable(m, nil, chunks)
	is.NoErr(err)
	site, found := table.Lookup(netip.MustParseAddr("10.0.7.9"))
	is.True(found && m.Sites[site] == "umlazi")

	again, err := o.Upload(ctx, UploadRequest{File: writeCSV(t, count, map[int]string{7: "umlazi"}), Token: "token-network"})
	is.NoErr(err)
	is.True(again.Unchanged && again.StoredChunks == 0)
}

// Guards against client blocks that name an undefined site, are uploaded by
// another team, or overwrite a concurrent upload.
func TestUploadRefuses(t *testing.T) {
	is := is.New(t)
	s, o := startWithSites(t)
	file := writeCSV(t, 3, map[int]string{2: "nowhere"})
	_, err := o.Upload(ctx, UploadRequest{File: file, Token: "token-network"})
	is.Equal(err.Error(), file+`:3: site "nowhere" is not defined`)
	is.Equal(ExitCode(err), ExitInvalid)
	_, err = o.Upload(ctx, UploadRequest{File: writeCSV(t, 3, nil), Token: "token-stock"})
	is.Equal(ExitCode(err), ExitInvalid)

	raced := false
	o.platform = &putHook{Platform: o.platform, beforePut: func() {
		if !raced {
			raced = true
			_, err := newOperator(t, s).Upload(ctx, UploadRequest{File: writeCSV(t, 4, nil), Token: "token-network"})
			is.NoErr(err)
		}
	}}
	_, err = o.Upload(ctx, UploadRequest{File: writeCSV(t, 5, nil), Token: "token-network"})
	is.Equal(ExitCode(err), ExitConflict)
}

// putHook is a platform that calls a function before each object is stored.
type putHook struct {
	tables.Platform
	beforePut func()
}

func (p *putHook) PutObject(ctx context.Context, name string, data []byte) error {
	p.beforePut()
	return p.Platform.PutObject(ctx, name, data)
}

// Guards against an edit after which instances cannot load the client blocks.
func TestApplyChecksManifest(t *testing.T) {
	is := is.New(t)
	_, o := startWithSites(t)
	uploaded, err := o.Upload(ctx, UploadRequest{File: writeCSV(t, 3, nil), Token: "token-network"})
	is.NoErr(err)
	tests := []struct{ old, new, want string }{
		{`"durban"`, `"durban-2"`, `network.toml:22: blocks.manifest: the client blocks name site "durban", which is not defined`},
		{uploaded.Manifest, blocks.ObjectName(strings.Repeat("0", 64)), "is not in the object store"},
		{`"umlazi"`, `"umlazi-2"`, ""},
	}
	for _, test := range tests {
		shown, err := o.Show(ctx, "network", 0)
		is.NoErr(err)
		text := strings.Replace(shown.Text, test.old, test.new, 1)
		is.True(text != shown.Text)
		_, err = o.Apply(ctx, ApplyRequest{
			Files: []File{file("network", text)}, Base: shown.Version, HasBase: true, Token: "token-network",
		})
		if test.want == "" {
			is.NoErr(err)
			continue
		}
		is.True(err != nil)
		if !strings.Contains(err.Error(), test.want) {
			t.Fatalf("want %q in %v", test.want, err)
		}
	}
}

// Guards against a check that accepts client blocks that overlap, name an
// undefined site, or are missing.
func TestCheckBlocks(t *testing.T) {
	tests := []struct{ name, csv, want string }{
		{"valid", "10.0.0.0/8,durban\n", ""},
		{"overlap", "10.0.0.0/8,durban\n# 1\n10.1.0.0/16,durban\n", "clients.csv:3: overlaps line 1"},
		{"no prefix", "10.0.0.0,durban\n", `clients.csv:1: "10.0.0.0" is no prefix`},
		{"site", "10.0.0.0/8,durban\n11.0.0.0/8,x\n", `clients.csv:2: site "x" is not defined`},
		{"missing", "", "network.toml:22: blocks.file: "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			network := firstDocument()[0]
			is.NoErr(os.WriteFile(filepath.Join(dir, "network.toml"), []byte(network.Text+sitesText), 0o600))
			if test.csv != "" {
				is.NoErr(os.WriteFile(filepath.Join(dir, "clients.csv"), []byte(test.csv), 0o600))
			}
			files, err := ReadSectionFiles([]string{filepath.Join(dir, "network.toml")})
			is.NoErr(err)
			_, err = Check(files)
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			if !strings.Contains(err.Error(), test.want) {
				t.Fatalf("want %q in %v", test.want, err)
			}
			is.Equal(ExitCode(err), ExitInvalid)
		})
	}
}
