// Package logic makes the decisions of a dispatcher that pushes jobs to workers.
//
// One Scheduler serves one dispatcher. The caller turns what happens into method calls, in the order in
// which it happened, and carries out the actions that each call appends, in their order.
//
// Contract. Times are microseconds on one clock of the caller's that never goes back; a time earlier than
// one already seen counts as the latest seen. A Scheduler does no I/O, reads no clock, starts no goroutine
// and must not be used by two goroutines at once. Slices passed in are only read during the call, except
// the action slice, which belongs to the caller and is appended to. Events for unknown jobs, attempts or workers, and wake-ups that no longer matter, are ignored.
package logic

// WorkerID names a worker; it says nothing of where or what the worker is.
type WorkerID uint32

// JobID names a job for as long as the caller holds it.
type JobID uint32

// Repeat says what a second run of a job would do.
type Repeat uint8

// The kinds of repeat safety.
const (
	RepeatUnsafe Repeat = iota // must never run twice; also the default for kinds not known
	RepeatKeyed                // workers of one group drop a repeat for a while
	RepeatSafe                 // may run any number of times
)

// Group says which workers drop each other's repeats of a keyed job.
type Group uint8

// The repeat groups.
const (
	GroupCell Group = iota // workers of the same cell; also the default for groups not known
	GroupZone              // workers of the same zone
	GroupAll               // all workers
)

// Class describes one class of jobs. Durations are microseconds.
type Class struct {
	Name       string  // what the callers of this deployment call it; no decision looks at it
	Aim        int64   // answers within Aim + Stretch x work earn the full worth
	Stretch    float64 // growth of the aim with the job's own work
	Deadline   int64   // the longest a client waits; used where a job states none
	Worth      float64 // worth of a job, or of a unit of its work (Config.WorthByWork)
	LateWorth  float64 // share of the worth that a late answer still earns
	Repeat     Repeat
	Group      Group
	Window     int64 // how long repeats are dropped, from the sending of the first that may have run
	WorkerKind int   // the only kind of worker that can run it; -1 for any
	Streamed   bool
}

// Tenant is one of those who share the fleet.
type Tenant struct {
	Name  string  // what its clients call it; no decision looks at it
	Quota float64 // jobs per second over all schedulers within its share; 0 = no limit known
}

// Field is a value of a worker's load report.
type Field uint8

// The values that a load report can hold.
const (
	FieldUnknown   Field = iota
	FieldInflight        // requests held
	FieldQueue           // requests waiting
	FieldService         // recent service time without waiting, milliseconds
	FieldRate            // requests a second
	FieldFreeSlots       // free slots
)

// Config is what a scheduler is told at its start. Durations are microseconds. The zero value of a field
// means its documented default; Classes must not be empty.
type Config struct {
	Schedulers int // schedulers that share the fleet, this one included; default 1
	Self       int // number of this one among them
	Zone       int // zone of this scheduler
	Zones      int // number of zones; default 1
	Classes    []Class
	Tenants    []Tenant
	Reports    []Field // what a load report holds, in order; empty where there are none

	MustAsk     bool    // the worker list comes only to those who subscribe
	WorthByWork bool    // worth is counted for each unit of work
	OverShare   float64 // worth of a job beyond its tenant's share, as a fraction
	TellsStart  bool    // workers tell when a job starts
	Progress    int64   // and how far a running one is, as often as this; 0 = never
	Resolution  int64   // events come no more often than this; default 1000

	MayCancel bool // attempts may be called off
	MayCopy   bool // two attempts of a job may be out at once

	MaxAttempts   int   // attempts for a job; default 1
	FreeConnects  bool  // one that never reached its worker does not count as an attempt
	HidesRetry    bool  // clients do not say which jobs they have tried before; less time left than the class's tells
	MaxRetryAfter int64 // longest wait that a client follows; 0 = none is followed

	AnswerSlack   int64   // how long after the client's deadline an answer still counts
	DrainGrace    int64   // how long sends to a draining worker are tolerated (this module needs none of it)
	StartCapacity float64 // a worker starts at this share of its capacity or more; default 0.1
	Cold          int64   // and is warm after this long; 0 = workers start warm
	FallWindow    int64   // window over which a cold worker's load is counted; default 1 s
	FallMultiple  float64 // it falls over beyond this multiple of its present capacity; default 1

	PriceCross float64 // points of worth lost for an attempt that leaves the zone

	// No decision looks at what follows; it is for those who carry the decisions out.
	ZoneNames      []string
	KindNames      []string
	ConnectTimeout int64 // a connection that is not up by then counts as failed
	ConnIdle       int64 // workers close a connection that stood idle for so long
	MaxOpen        int   // jobs held at once; 0 = no limit
	Pushed         bool  // the list of workers counts as told at once, whether it was asked for or not
	AskWithin      int64 // without a subscription a list holds for so long after it was asked for; 0 = without end
}

// Phase is what the list says of a worker.
type Phase uint8

// The phases of a worker.
const (
	Gone Phase = iota
	Ready
	Draining
)

// WorkerInfo is one entry of the worker list.
type WorkerInfo struct {
	ID      WorkerID
	Zone    int
	Kind    int
	Cell    int
	Weight  float64 // size compared with others
	UpSince int64   // when it last started; 0 = long ago
	Phase   Phase
}

// ListKind says what a list event carries.
type ListKind uint8

// The kinds of list events.
const (
	ListCached ListKind = iota // all workers as last known, perhaps stale
	ListFailed                 // a call for the list failed, or the subscription broke; no entries
	ListFull                   // all workers; one that is absent is gone
	ListDelta                  // the entries that changed
)

// Job is a request as it arrives.
type Job struct {
	ID       JobID
	Key      uint64 // data set that it needs; 0 = none
	Class    int
	Tenant   int     // its place in Config.Tenants; any other number where it is in none of them
	Hint     int64   // expected work on a standard core, microseconds; 0 = unknown
	Slots    float64 // slots it takes; below 1 counts as 1
	Memory   float64 // memory units it takes
	Deadline int64   // when the client gives up
	Repeated bool    // the client has tried before
	Share    float64 // of its worth that it earns, where the limits of a whole fleet have decided that; 0 = they have not
	Price    float64 // worth of the work on one slot in a second that the fleet could do in its place; 0 = it has room
}

// Result says how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	Served        Result = iota
	Failed               // the worker answered with an error; it may have run
	Refused              // turned away unseen; it never ran
	TimedOut             // it may have run, or may still
	ConnectFailed        // never reached the worker
	Broken               // the connection failed under it; it may have run
	Cancelled            // called off; it may have run
	Moot                 // never sent
	Unusable             // the worker answered that the job is no good; to be safe, it may have run
)

// Outcome is the end of an attempt.
type Outcome struct {
	Job     JobID
	Attempt int
	Worker  WorkerID
	Result  Result
	Elapsed int64 // since it was sent
	Settled bool  // the job has its final answer
	Report  []float32
}

// ActionKind is what the caller shall do.
type ActionKind uint8

// The kinds of action and the fields of Action that each uses.
const (
	ActSend      ActionKind = iota // Job, Worker, Timeout: start the next attempt of Job
	ActCancel                      // Job, Attempt: stop waiting for an attempt
	ActRefuse                      // Job, After: final answer, trying again is harmless
	ActFail                        // Job: final answer, promises nothing
	ActWake                        // Token, At: call Wake at or after At
	ActSubscribe                   // ask for list changes from now on
)

// Action is something that the caller shall do; only the fields its kind names are set.
type Action struct {
	Kind    ActionKind
	Job     JobID
	Worker  WorkerID
	Attempt int
	Timeout int64
	After   int64
	At      int64
	Token   uint32
}
