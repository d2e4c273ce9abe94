package callers

import "sync"

// maxIdleWorkers is the number of idle goroutines that are kept. A new goroutine
// would have to grow its stack for a request, which takes about 8% of the time of a
// small one.
const maxIdleWorkers = 32

// workers are the idle goroutines of the process. They are shared by all
// connections, so that an idle connection has no more than its reader.
var workers workerPool

type workerPool struct {
	mu sync.Mutex
	// idle is used from its end: the goroutine that became idle last has its
	// stack in the caches of the processor.
	idle []*worker
}

// task is a call to run, or the reading of a connection if call is nil.
type task struct {
	conn *conn
	call *Call
}

// worker is a goroutine that runs tasks.
type worker struct {
	// tasks receives the next task of an idle worker.
	tasks chan task
	// current is the task that it runs. call is the call that it runs then, isReader
	// is set while it is the reader of the connection.
	current  task
	call     *Call
	isReader bool
}

// run runs a task in an idle goroutine, or in a new one. Waking the goroutine may
// take a system call, during which the pool is not locked.
func (p *workerPool) run(t task) {
	if w := p.takeIdle(); w != nil {
		w.tasks <- t
		return
	}
	w := &worker{tasks: make(chan task, 1), current: t}
	go w.work()
}

func (p *workerPool) takeIdle() *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	w := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return w
}

func (p *workerPool) addIdle(w *worker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleWorkers {
		return false
	}
	p.idle = append(p.idle, w)
	return true
}

// work runs tasks until enough other goroutines are idle. A guard spans all tasks
// up to a panic, since entering it takes time.
func (w *worker) work() {
	for w.current.conn != nil {
		if !w.current.conn.handler.Guard(w.runTasks) {
			w.abortAfterPanic()
			w.next()
		}
	}
}

// runTasks runs tasks of connections of one set.
func (w *worker) runTasks() {
	for set := w.current.conn.set; w.current.conn != nil && w.current.conn.set == set; w.next() {
		if w.call = w.current.call; w.call != nil {
			w.current.conn.run(w.call)
			continue
		}
		w.isReader = true
		w.current.conn.serve(w)
	}
}

// next waits for the next task. There is none if enough other goroutines are idle.
func (w *worker) next() {
	w.current, w.call, w.isReader = task{}, nil, false
	if workers.addIdle(w) {
		w.current = <-w.tasks
	}
}

// abortAfterPanic aborts the connection of a task that has panicked.
func (w *worker) abortAfterPanic() {
	c := w.current.conn
	c.abortAfterPanic(w.call)
	if w.isReader {
		c.end()
	}
}
