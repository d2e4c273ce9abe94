package traffic

import (
	"time"

	"pistachioford.example/core/document"
)

// service is one row of the service table: a document service and its
// measurements. Rows stay valid when the document changes.
type service struct {
	name          string
	id            document.ServiceID
	present       bool
	group         int32
	priority      document.Priority
	deadline      time.Duration
	idempotent    bool
	responseBytes int64
	// slotTime measures how long a request of the service occupies a slot.
	slotTime estimate
	// plannedShifts are the shifts out of this region.
	plannedShifts []plannedShift
}

// plannedShift is the fraction of a service's requests to be served by another
// region.
type plannedShift struct {
	to       document.RegionID
	fraction float64
}

// serviceTable holds all services that any document has listed.
type serviceTable struct {
	rows   []service
	byName map[string]int32
	byID   []int32 // row of each document.ServiceID
}

func (t *serviceTable) configure(doc *document.Compiled, region document.RegionID, groups []int32) {
	if t.byName == nil {
		t.byName = map[string]int32{}
	}
	for i := range t.rows {
		t.rows[i].present = false
	}
	t.byID = t.byID[:0]
	for id := range doc.Services {
		d := &doc.Services[id]
		row := t.rowFor(d.Name)
		s := &t.rows[row]
		s.id, s.present = document.ServiceID(id), true
		s.group, s.priority = groups[d.Group], d.Priority
		s.deadline, s.idempotent, s.responseBytes = d.Deadline, d.Idempotent, d.ResponseBytes
		s.plannedShifts = plannedShiftsOf(doc, s.id, region)
		t.byID = append(t.byID, row)
	}
}

// rowFor returns the row of a service; it adds the row if the name is new.
func (t *serviceTable) rowFor(name string) int32 {
	if row, ok := t.byName[name]; ok {
		return row
	}
	t.rows = append(t.rows, service{name: name})
	row := int32(len(t.rows) - 1)
	t.byName[name] = row
	return row
}

// plannedShiftsOf returns the shifts of a service out of a region.
func plannedShiftsOf(doc *document.Compiled, id document.ServiceID, from document.RegionID) []plannedShift {
	var planned []plannedShift
	for i := range doc.Shifts {
		s := &doc.Shifts[i]
		if s.Service == id && s.From == from && s.Fraction > 0 {
			planned = append(planned, plannedShift{to: s.To, fraction: s.Fraction})
		}
	}
	return planned
}

// serviceRow returns the row of a request's service. A service of the previous
// document is looked up by name, since the numbers may have changed.
func (e *Engine) serviceRow(id document.ServiceID, revision uint64) (int32, bool) {
	doc := e.doc
	if revision != 0 && revision != doc.Revision {
		if e.previousDoc == nil || e.previousDoc.Revision != revision {
			return 0, false
		}
		doc = e.previousDoc
	}
	if int(id) >= len(doc.Services) {
		return 0, false
	}
	if doc == e.doc {
		return e.services.byID[id], true
	}
	row, ok := e.services.byName[doc.Services[id].Name]
	return row, ok && e.services.rows[row].present
}
