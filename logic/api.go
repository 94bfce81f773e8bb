// Package logic decides to which worker a dispatcher sends each job.
//
// A Scheduler sends a job to the worker with the lowest admission cost. The cost models a worker as an M/D/1
// queue (Poisson arrivals, deterministic service times) whose jobs have deadlines: it is the value lost to
// deadline violations, of the job itself and of the jobs that come after it, when the job joins that worker's
// backlog. The cost also covers the probability that the worker fails, the fetch of a data set that the worker
// does not have, and the price of leaving the zone. A Scheduler also decides on retries, copies, cancellations
// and refusals. Package logic/value holds the value function.
//
// One Scheduler serves one dispatcher; New makes it from a Config. The caller reports each event by a method
// call, in the order of the events: Scheduler.Workers for a change of the worker list, Scheduler.Arrive for a
// new job, Scheduler.Started, Scheduler.Progress, Scheduler.Streaming and Scheduler.Outcome for its attempts,
// Scheduler.ClientGone for a client that leaves and Scheduler.Wake for a timer. Each call appends Actions, which
// the caller carries out in their order. Schedulers of one fleet work without communication; where their
// dispatchers exchange load reports, Scheduler.RecordOthersBacklog and its relatives take them in.
//
// Contract: times are microseconds on one clock of the caller that never goes back; a time earlier than one
// already seen counts as the latest seen. A Scheduler does no I/O, reads no clock, starts no goroutine and must
// not be used by two goroutines at once. Slices passed in are only read during the call, except the action
// slice, which belongs to the caller and is appended to. Events for unknown jobs, attempts or workers, and
// wake-ups that no longer matter, are ignored.
//
// Units inside the package: work is seconds on a standard core, slot-work is work times slots, backlogs are
// seconds that a worker needs to drain them. As in the literature, u is a worker's backlog, tau the backlog
// that a job tolerates without missing its target, d the time to drain one mean job, rho the utilisation and v
// the value function.
package logic

// WorkerID identifies a worker. It carries no information about its address or kind.
type WorkerID uint32

// JobID identifies a job for as long as the caller holds it.
type JobID uint32

// Repeat states what a second run of a job would do.
type Repeat uint8

// The kinds of repeat safety.
const (
	RepeatUnsafe Repeat = iota // must never run twice; also the default for unknown values
	RepeatKeyed                // workers of one Group drop a repeat for Class.Window
	RepeatSafe                 // may run any number of times
)

// Group states which workers drop each other's repeats of a keyed job.
type Group uint8

// The repeat groups.
const (
	GroupCell Group = iota // workers of the same cell; also the default for unknown values
	GroupZone              // workers of the same zone
	GroupAll               // all workers
)

// Class describes one class of jobs. Durations are microseconds.
type Class struct {
	Name          string  // label used by the callers of this deployment; no decision depends on it
	TargetLatency int64   // target latency: answers within TargetLatency + TargetPerWork x work earn the full value; default Deadline
	TargetPerWork float64 // growth of the target latency with the job's own work
	Deadline      int64   // how long a client waits; used where a job states no deadline; default 10 s
	Value         float64 // value of a job, or of a unit of its work (Config.ValueByWork)
	LateValue     float64 // fraction of the value that a late answer still earns
	Repeat        Repeat  // whether and where the job may run again
	Group         Group   // for RepeatKeyed: the workers that drop each other's repeats
	Window        int64   // how long repeats are dropped, from the sending of the first attempt that may have run
	WorkerKind    int     // the only kind of worker that can run it; -1 for any
	Streamed      bool    // answers are streamed; no decision depends on it
}

// Tenant is one of the parties that share the fleet.
type Tenant struct {
	Name  string  // label used by its clients; no decision depends on it
	Quota float64 // jobs per second over all schedulers that have full value; 0 = no known limit
}

// Field is a value of a worker's load report.
type Field uint8

// The values that a load report can hold.
const (
	FieldUnknown   Field = iota
	FieldInflight        // requests held by the worker
	FieldQueue           // requests waiting at the worker
	FieldService         // recent service time without waiting, milliseconds
	FieldRate            // requests per second
	FieldFreeSlots       // free slots
)

// Config holds the settings of a scheduler. Durations are microseconds. The zero value of a field means its
// documented default; Classes must not be empty.
type Config struct {
	Schedulers int      // schedulers that share the fleet, this one included; default 1
	Self       int      // index of this scheduler among them
	Zone       int      // zone of this scheduler
	Zones      int      // number of zones; default 1
	Classes    []Class  // job classes; Job.Class is an index into it
	Tenants    []Tenant // tenants; Job.Tenant is an index into it; empty where there are no quotas
	Reports    []Field  // the values of a load report, in order; empty where workers send none

	NeedsSubscription bool    // the worker list comes only to subscribers
	ValueByWork       bool    // Class.Value counts for each unit of work
	OverQuotaValue    float64 // fraction of its value that a job beyond its tenant's quota has
	ReportsStart      bool    // workers report when a job starts
	Progress          int64   // interval at which workers report the progress of a running job; 0 = never
	Resolution        int64   // smallest interval between events; default 1000

	MayCancel bool // attempts may be cancelled
	MayCopy   bool // two attempts of a job may be outstanding at once

	MaxAttempts       int   // attempts per job; default 1
	UncountedConnects bool  // an attempt that never reached its worker does not count
	RetriesUnmarked   bool  // clients do not mark retries; a remaining time shorter than the class's deadline shows them
	MaxRetryAfter     int64 // longest Retry-After that clients follow; 0 = they follow none

	AnswerSlack      int64   // how long after the client's deadline an answer still counts
	DrainGrace       int64   // how long sends to a draining worker are tolerated; no decision depends on it
	StartCapacity    float64 // lowest share of its capacity that a starting worker has; default 0.1
	SlowStart        int64   // length of a worker's slow start; 0 = workers start with full capacity
	OverloadWindow   int64   // window over which the load of a worker in slow start is counted; default 1 s
	OverloadMultiple float64 // it fails beyond this multiple of its current capacity; default 1

	CrossZoneCost float64 // points of value lost for an attempt that leaves the zone

	// No decision depends on the fields below; they serve the code that carries the decisions out.
	ZoneNames      []string // by zone number
	KindNames      []string // by worker kind
	ConnectTimeout int64    // a connection that is not up after this time counts as failed
	ConnIdle       int64    // workers close a connection that has been idle for this long
	MaxOpen        int      // jobs held at once; 0 = no limit
	Pushed         bool     // the worker list counts as known at once, whether it was requested or not
	ListValidity   int64    // how long a list stays valid after its request without a subscription; 0 = without end
}

// Phase is the state of a worker in the worker list.
type Phase uint8

// The phases of a worker.
const (
	Gone     Phase = iota // no longer running
	Ready                 // accepts jobs
	Draining              // finishes the jobs it has and must get no new ones
)

// WorkerInfo is one entry of the worker list. Zone, Kind and Cell are numbers of the deployment.
type WorkerInfo struct {
	ID      WorkerID
	Zone    int
	Kind    int
	Cell    int
	Weight  float64 // size relative to other workers
	UpSince int64   // time at which it last started, in microseconds; 0 = long ago
	Phase   Phase
}

// ListKind states what a list event carries.
type ListKind uint8

// The kinds of list events.
const (
	ListCached ListKind = iota // all workers as last known, possibly stale
	ListFailed                 // a request for the list failed, or the subscription broke; no entries
	ListFull                   // all workers; one that is absent is gone
	ListDelta                  // the entries that changed
)

// Job is a request on its arrival.
type Job struct {
	ID        JobID
	Key       uint64  // data set that it needs; 0 = none
	Class     int     // index into Config.Classes; out of range counts as the last class
	Tenant    int     // index into Config.Tenants; any other number where it is none of them
	Hint      int64   // expected work on a standard core, microseconds; 0 = unknown
	Slots     float64 // slots it occupies; below 1 counts as 1
	Memory    float64 // memory units it occupies; a worker has one for each slot
	Deadline  int64   // when the client gives up, in microseconds; 0 = after Class.Deadline
	Repeated  bool    // the client has tried before
	Share     float64 // fraction of its value that it has by the limits of the whole fleet; 0 = these do not decide it
	SlotPrice float64 // value of the work that one slot could do in a second instead; 0 = the fleet has spare capacity
}

// Result states how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	Served        Result = iota // the worker answered with a result
	Failed                      // the worker answered with an error; it may have run
	Refused                     // rejected before it was looked at; it never ran
	TimedOut                    // no answer in time; it may have run, or may still run
	ConnectFailed               // the attempt never reached the worker
	Broken                      // the connection failed during the attempt; it may have run
	Cancelled                   // cancelled; it may have run
	NotSent                     // never sent
	Unusable                    // the worker rejected the job as invalid; to be safe, it counts as one that may have run
)

// Outcome reports the end of an attempt.
type Outcome struct {
	Job     JobID
	Attempt int // index of the attempt among those of its job, from 0
	Worker  WorkerID
	Result  Result
	Elapsed int64     // microseconds since the attempt was sent
	Settled bool      // the job has its final answer
	Report  []float32 // load report of the worker, in the order of Config.Reports
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions and the fields of Action that each uses.
const (
	ActSend      ActionKind = iota // Job, Worker, Timeout: start the next attempt of Job
	ActCancel                      // Job, Attempt: stop waiting for this attempt
	ActRefuse                      // Job, After: final answer; a retry by the client is harmless
	ActFail                        // Job: final answer; the job may have run
	ActWake                        // At: call Wake at or after At; Token is always 0
	ActSubscribe                   // subscribe to changes of the worker list, or repeat the request for it
)

// Action is an instruction to the caller; only the fields that its kind names are set. Timeout and After are
// durations and At is a time, all in microseconds.
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
