package traffic

import (
	"time"

	"pistachioford.example/core/document"
	"pistachioford.example/core/limit"
)

// queueLimit is the maximum number of requests in one queue. With 100 slots and
// 5 ms for each request, the last one waits about 50 ms.
const queueLimit = 1024

// requestList is a doubly linked list of requests. The links are the prev and
// next rows in the request table.
type requestList struct {
	head, tail int32
	length     int
}

// group is one row of the group table: the queues, scheduler, retry budget and
// measurements of a document group. Rows stay valid when the document changes.
type group struct {
	name        string
	id          document.GroupID
	present     bool
	queues      [document.NumPriorities]requestList
	scheduler   limit.Scheduler
	retryBudget limit.RetryBudget
	serviceTime estimate
	shedWindow  shedWindow
	// preemptible lists the exchanges that may be preempted, the youngest last.
	// pendingPreemptions counts the preempted ones that have not ended.
	// preemptBudget is the slot time that further preemptions may waste.
	preemptible        requestList
	pendingPreemptions int
	preemptBudget      time.Duration
}

// groupTable holds all groups that any document has listed.
type groupTable struct {
	rows   []group
	byName map[string]int32
	byID   []int32 // row of each document.GroupID
}

func (t *groupTable) configure(doc *document.Compiled) {
	if t.byName == nil {
		t.byName = map[string]int32{}
	}
	for i := range t.rows {
		t.rows[i].present = false
	}
	t.byID = t.byID[:0]
	for id := range doc.Groups {
		row := t.rowFor(doc.Groups[id].Name)
		g := &t.rows[row]
		g.id, g.present = document.GroupID(id), true
		g.scheduler.Set(sharesOf(doc, g.id))
		t.byID = append(t.byID, row)
	}
}

// rowFor returns the row of a group; it adds the row if the name is new.
func (t *groupTable) rowFor(name string) int32 {
	if row, ok := t.byName[name]; ok {
		return row
	}
	g := group{name: name, retryBudget: limit.NewRetryBudget(), preemptible: requestList{head: none, tail: none}, preemptBudget: defaultServiceTime}
	for p := range g.queues {
		g.queues[p] = requestList{head: none, tail: none}
	}
	t.rows = append(t.rows, g)
	row := int32(len(t.rows) - 1)
	t.byName[name] = row
	return row
}

// sharesOf adds up the guaranteed shares of a group's services by priority.
func sharesOf(doc *document.Compiled, g document.GroupID) [document.NumPriorities]float64 {
	var shares [document.NumPriorities]float64
	for i := range doc.Services {
		s := &doc.Services[i]
		if s.Group == g {
			shares[s.Priority] = min(1, shares[s.Priority]+s.Share)
		}
	}
	return shares
}

// waiting returns the number of requests queued in the group.
func (g *group) waiting() int {
	total := 0
	for p := range g.queues {
		total += g.queues[p].length
	}
	return total
}

func (g *group) waitingByPriority() limit.Waiting {
	var w limit.Waiting
	for p := range g.queues {
		w[p] = g.queues[p].length > 0
	}
	return w
}

// enqueue appends a request to its group's queue.
func (e *Engine) enqueue(row int32) {
	r := &e.requests.rows[row]
	r.state = stateQueued
	e.listAppend(&e.groups.rows[r.group].queues[r.priority], row)
}

// enqueueFirst inserts a request at the head of its group's queue.
func (e *Engine) enqueueFirst(row int32) {
	r := &e.requests.rows[row]
	q := &e.groups.rows[r.group].queues[r.priority]
	r.state = stateQueued
	if q.head == none {
		e.listAppend(q, row)
		return
	}
	r.prev, r.next = none, q.head
	e.requests.rows[q.head].prev = row
	q.head = row
	q.length++
}

// dequeue removes a request from any position of its queue.
func (e *Engine) dequeue(row int32) {
	r := &e.requests.rows[row]
	e.listRemove(&e.groups.rows[r.group].queues[r.priority], row)
	r.state = stateNew
}

// listAppend appends a request to a list.
func (e *Engine) listAppend(q *requestList, row int32) {
	r := &e.requests.rows[row]
	r.prev, r.next = q.tail, none
	if q.tail == none {
		q.head = row
	} else {
		e.requests.rows[q.tail].next = row
	}
	q.tail = row
	q.length++
}

// listRemove removes a request from any position of a list.
func (e *Engine) listRemove(q *requestList, row int32) {
	r := &e.requests.rows[row]
	if r.prev == none {
		q.head = r.next
	} else {
		e.requests.rows[r.prev].next = r.next
	}
	if r.next == none {
		q.tail = r.prev
	} else {
		e.requests.rows[r.next].prev = r.prev
	}
	q.length--
	r.prev, r.next = none, none
}

// expireQueue refuses the queued requests that can no longer meet their
// deadline.
func (e *Engine) expireQueue(now time.Time, g int32) {
	for p := range e.groups.rows[g].queues {
		row := e.groups.rows[g].queues[p].head
		for row != none {
			next := e.requests.rows[row].next
			if !e.canMeetDeadline(now, row, 0) {
				e.dequeue(row)
				e.refuse(now, row, ReasonDeadline)
			}
			row = next
		}
	}
}
