package operate

import (
	"cmp"
	"errors"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"pistachioford.example/core/account"
	"pistachioford.example/core/steer"
	"pistachioford.example/pistachioford/platform"
)

// AccountList is what a document of the platform defines about client accounts.
// It holds no key.
type AccountList struct {
	File     string        `json:"file"`
	Version  uint64        `json:"version"`
	Accounts []AccountInfo `json:"accounts"`
	Routes   []RouteAccess `json:"routes"`
}

// AccountInfo describes one client account.
type AccountInfo struct {
	Name string `json:"name"`
	// Keys is the number of different keys.
	Keys int `json:"keys"`
	AccountTerms
}

// AccountTerms are what an account's requests get.
type AccountTerms struct {
	// Priority is nil if that of the route applies.
	Priority *int `json:"priority"`
	// CapPerS is the usage cap in requests per second, 0 for none.
	CapPerS float64 `json:"cap_per_s"`
	Burst   float64 `json:"burst"`
	// Regions is empty if all regions may serve the account.
	Regions []string `json:"regions"`
}

// RouteAccess tells whether the requests of a route need a key.
type RouteAccess struct {
	Name   string `json:"name"`
	Public bool   `json:"public"`
}

// AccountDiff is the difference between the accounts of two documents.
type AccountDiff struct {
	File         string `json:"file"`
	Newer        string `json:"newer"`
	Version      uint64 `json:"version"`
	NewerVersion uint64 `json:"newer_version"`

	Added   []AccountInfo   `json:"added"`
	Removed []AccountInfo   `json:"removed"`
	Changed []AccountChange `json:"changed"`
	// NowPublic and NoLongerPublic are names of routes of both documents.
	NowPublic      []string `json:"now_public"`
	NoLongerPublic []string `json:"no_longer_public"`
}

// AccountChange is the difference between two versions of an account. Keys are
// given by the fingerprints of their digests.
type AccountChange struct {
	Name string `json:"name"`
	// RenamedFrom is the earlier name, empty if it is the same.
	RenamedFrom   string   `json:"renamed_from,omitempty"`
	KeysAdded     []string `json:"keys_added"`
	KeysWithdrawn []string `json:"keys_withdrawn"`
	// Before and After differ if TermsChanged is set.
	TermsChanged bool         `json:"terms_changed"`
	Before       AccountTerms `json:"before"`
	After        AccountTerms `json:"after"`
}

// Accounts lists the accounts of a document in the platform's format. Unless
// regions is empty, accounts must not name other regions.
func Accounts(file string, regions []string) (*AccountList, error) {
	doc, err := readAccounts(file, regions)
	if err != nil {
		return nil, err
	}
	list := &AccountList{File: file, Version: doc.Version, Accounts: []AccountInfo{}, Routes: []RouteAccess{}}
	for _, a := range doc.Accounts.All() {
		list.Accounts = append(list.Accounts, infoOf(a))
	}
	for _, r := range doc.Routes {
		list.Routes = append(list.Routes, RouteAccess{Name: r.Name, Public: r.Public || doc.Accounts == nil})
	}
	return list, nil
}

// CompareAccounts compares the accounts of two documents in the platform's
// format. If both are invalid, the error lists the problems of both.
func CompareAccounts(file, newer string, regions []string) (*AccountDiff, error) {
	before, errBefore := readAccounts(file, regions)
	after, errAfter := readAccounts(newer, regions)
	var invalidBefore, invalidAfter *InvalidDocumentError
	if errors.As(errBefore, &invalidBefore) && errors.As(errAfter, &invalidAfter) {
		return nil, &InvalidDocumentError{Problems: slices.Concat(invalidBefore.Problems, invalidAfter.Problems)}
	}
	if err := cmp.Or(errBefore, errAfter); err != nil {
		return nil, err
	}
	d := &AccountDiff{
		File: file, Newer: newer, Version: before.Version, NewerVersion: after.Version,
		Added: []AccountInfo{}, Removed: []AccountInfo{}, Changed: []AccountChange{},
	}
	d.compareAccounts(before.Accounts.All(), after.Accounts.All())
	d.compareRoutes(before, after)
	return d, nil
}

// readAccounts reads and validates a document. The error never contains a key.
func readAccounts(file string, regions []string) (*steer.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "step=read-document")
	}
	doc, err := platform.DecodeDocument(data)
	if err == nil && len(regions) > 0 {
		err = doc.Accounts.CheckRegions(func(region string) bool { return slices.Contains(regions, region) })
	}
	if err == nil {
		return doc, nil
	}
	invalid := &InvalidDocumentError{}
	for _, problem := range strings.Split(err.Error(), "\n") {
		invalid.Problems = append(invalid.Problems, file+": "+problem)
	}
	return nil, invalid
}

func infoOf(a *account.Account) AccountInfo {
	return AccountInfo{Name: a.Name, Keys: len(keySet(a)), AccountTerms: termsOf(a)}
}

func termsOf(a *account.Account) AccountTerms {
	regions := append([]string{}, a.Regions...)
	slices.Sort(regions)
	terms := AccountTerms{CapPerS: a.Rate, Burst: a.Burst, Regions: slices.Compact(regions)}
	if a.HasPriority {
		terms.Priority = &a.Priority
	}
	return terms
}

func (t AccountTerms) equal(other AccountTerms) bool {
	samePriority := t.Priority == other.Priority || t.Priority != nil && other.Priority != nil && *t.Priority == *other.Priority
	return samePriority && t.CapPerS == other.CapPerS && t.Burst == other.Burst && slices.Equal(t.Regions, other.Regions)
}

func keySet(a *account.Account) map[account.Digest]bool {
	keys := map[account.Digest]bool{}
	for _, key := range a.Keys {
		keys[key] = true
	}
	return keys
}

// fingerprintsWithout returns the fingerprints of the keys of a that b does not
// hold, in order.
func fingerprintsWithout(a, b *account.Account) []string {
	fingerprints, held := []string{}, keySet(b)
	for key := range keySet(a) {
		if !held[key] {
			fingerprints = append(fingerprints, key.Fingerprint())
		}
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// compareAccounts matches accounts by name. A name that disappeared and a new
// one that holds the same keys are a rename.
func (d *AccountDiff) compareAccounts(before, after []*account.Account) {
	earlier, newer := byName(before), byName(after)
	renamed := map[string]bool{}
	for _, a := range after {
		b := earlier[a.Name]
		if b == nil {
			for _, candidate := range before {
				if newer[candidate.Name] == nil && !renamed[candidate.Name] && sameKeys(candidate, a) {
					b = candidate
					renamed[candidate.Name] = true
					break
				}
			}
		}
		if b == nil {
			d.Added = append(d.Added, infoOf(a))
			continue
		}
		d.addChange(b, a)
	}
	for _, b := range before {
		if newer[b.Name] == nil && !renamed[b.Name] {
			d.Removed = append(d.Removed, infoOf(b))
		}
	}
}

func byName(accounts []*account.Account) map[string]*account.Account {
	named := map[string]*account.Account{}
	for _, a := range accounts {
		named[a.Name] = a
	}
	return named
}

// sameKeys reports whether two accounts hold the same keys, at least one.
func sameKeys(a, b *account.Account) bool {
	return len(a.Keys) > 0 && len(fingerprintsWithout(a, b)) == 0 && len(fingerprintsWithout(b, a)) == 0
}

// addChange records the difference between two versions of an account, if there
// is one.
func (d *AccountDiff) addChange(before, after *account.Account) {
	change := AccountChange{
		Name: after.Name, KeysAdded: fingerprintsWithout(after, before), KeysWithdrawn: fingerprintsWithout(before, after),
		Before: termsOf(before), After: termsOf(after),
	}
	if before.Name != after.Name {
		change.RenamedFrom = before.Name
	}
	change.TermsChanged = !change.Before.equal(change.After)
	if change.RenamedFrom != "" || change.TermsChanged || len(change.KeysAdded)+len(change.KeysWithdrawn) > 0 {
		d.Changed = append(d.Changed, change)
	}
}

// compareRoutes records the routes whose requests begin or cease to need a key.
func (d *AccountDiff) compareRoutes(before, after *steer.Document) {
	d.NowPublic, d.NoLongerPublic = []string{}, []string{}
	public := map[string]bool{}
	for _, r := range before.Routes {
		public[r.Name] = r.Public || before.Accounts == nil
	}
	for _, r := range after.Routes {
		was, found := public[r.Name]
		is := r.Public || after.Accounts == nil
		switch {
		case found && is && !was:
			d.NowPublic = append(d.NowPublic, r.Name)
		case found && was && !is:
			d.NoLongerPublic = append(d.NoLongerPublic, r.Name)
		}
	}
}
