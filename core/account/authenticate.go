package account

import "bytes"

const (
	scheme = "Bearer"
	// maxKeyBytes bounds the keys that are hashed.
	maxKeyBytes = 512
)

// Credentials are the key that a request presents.
type Credentials struct {
	key     Digest
	present bool
	fields  int
}

// AddField records the value of an Authorization field. The scheme may have any
// case, and blanks may surround the key.
func (c *Credentials) AddField(value []byte) {
	c.fields++
	value = bytes.Trim(value, " \t")
	name, key, found := bytes.Cut(value, []byte(" "))
	key = bytes.Trim(key, " \t")
	if !found || !bytes.EqualFold(name, []byte(scheme)) || len(key) == 0 || len(key) > maxKeyBytes || bytes.ContainsAny(key, " \t") {
		return
	}
	c.key, c.present = DigestOf(key), true
}

// Account returns the account that the credentials belong to, or nil. Several
// fields belong to none: the target and this instance might prefer different
// ones.
func (c *Credentials) Account(d *Directory) *Account {
	if !c.present || c.fields != 1 {
		return nil
	}
	return d.Find(c.key)
}
