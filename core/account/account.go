// Package account holds the client accounts of a document and decides what
// their callers may ask for.
package account

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Digest identifies a key. Keys themselves are not kept, so that no log line or
// message can hold one.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) Digest { return sha256.Sum256(key) }

// Fingerprint returns the first 8 hex digits of the digest, by which operators
// tell keys apart.
func (d Digest) Fingerprint() string { return hex.EncodeToString(d[:4]) }

// Account is a client account of a document.
type Account struct {
	Name string
	Keys []Digest
	// Priority replaces that of the routes if HasPriority is set. 0 is the most
	// urgent.
	Priority    int
	HasPriority bool
	// Rate is the usage cap in requests per second over all instances, 0 for
	// none. Burst is the number of requests that may exceed it at once.
	Rate, Burst float64
	// Regions lists the only regions that may serve the account; empty allows
	// all.
	Regions []string
}

// PriorityOr returns the account's priority, or that of the route if the account
// has none.
func (a *Account) PriorityOr(route int) int {
	if a.HasPriority {
		return a.Priority
	}
	return route
}

// Directory holds the accounts of a document. It is immutable.
type Directory struct {
	byName []*Account
	byKey  map[Digest]*Account
}

// NewDirectory validates accounts. The error joins all problems and contains no
// key.
func NewDirectory(accounts []Account) (*Directory, error) {
	d := &Directory{byKey: map[Digest]*Account{}}
	var problems []error
	for i := range accounts {
		a := &accounts[i]
		d.byName = append(d.byName, a)
		problems = append(problems, a.validate())
		a.Rate, a.Burst = min(a.Rate, maxCap), min(a.Burst, maxCap)
		for n, key := range a.Keys {
			switch other := d.byKey[key]; {
			case other == nil:
				d.byKey[key] = a
			case other != a:
				problems = append(problems, fmt.Errorf("account %q: key %d also belongs to account %q", a.Name, n+1, other.Name))
			}
		}
	}
	slices.SortFunc(d.byName, func(a, b *Account) int { return strings.Compare(a.Name, b.Name) })
	for i := 1; i < len(d.byName); i++ {
		if d.byName[i].Name == d.byName[i-1].Name {
			problems = append(problems, fmt.Errorf("account %q is listed twice", d.byName[i].Name))
		}
	}
	if err := errors.Join(problems...); err != nil {
		return nil, err
	}
	return d, nil
}

// emptyKey is the digest of a key without characters.
var emptyKey = DigestOf(nil)

func (a *Account) validate() error {
	var problems []error
	add := func(format string, arguments ...any) {
		problems = append(problems, fmt.Errorf("account %q: "+format, append([]any{a.Name}, arguments...)...))
	}
	if !validName(a.Name) {
		add("the name must have 1 to 200 visible ASCII characters")
	}
	if slices.Contains(a.Keys, emptyKey) {
		add("a key is empty")
	}
	if !(a.Rate >= 0) {
		add("rate %g is negative", a.Rate)
	}
	if !(a.Burst >= 0) {
		add("burst %g is negative", a.Burst)
	}
	if a.Priority < 0 {
		add("priority %d is negative", a.Priority)
	}
	return errors.Join(problems...)
}

const maxNameBytes = 200

// maxCap limits Rate and Burst. No fleet serves as many requests, and products of
// larger values may be infinite.
const maxCap = 1e9

// validName reports whether a name can be sent as a field value.
func validName(name string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' }
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, invalid)
}

// CheckRegions returns an error that joins all regions of accounts which are not
// among the known ones.
func (d *Directory) CheckRegions(known func(region string) bool) error {
	if d == nil {
		return nil
	}
	var problems []error
	for _, a := range d.byName {
		for _, region := range a.Regions {
			if !known(region) {
				problems = append(problems, fmt.Errorf("account %q: no availability zone is in region %q", a.Name, region))
			}
		}
	}
	return errors.Join(problems...)
}

// Find returns the account that holds a key, or nil. The time that it takes does
// not depend on how much of a key is right: the digests of two keys have nothing
// in common.
func (d *Directory) Find(key Digest) *Account {
	a := d.byKey[key]
	if a == nil {
		return nil
	}
	for i := range a.Keys {
		if subtle.ConstantTimeCompare(a.Keys[i][:], key[:]) == 1 {
			return a
		}
	}
	return nil
}

// Len returns the number of accounts. d may be nil.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// All returns the accounts, ordered by name. d may be nil.
func (d *Directory) All() []*Account {
	if d == nil {
		return nil
	}
	return d.byName
}
