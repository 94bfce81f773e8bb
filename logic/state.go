package logic

import (
	"granitewing/logic/value"
	"math"
)

// The records that decisions read and write.

// attempt is one sending of a job. Times are microseconds; 0 where the event has not happened.
type attempt struct {
	worker          int32 // index into Scheduler.workers
	outstanding     bool  // no outcome yet
	neverRan        bool  // certain not to have run
	cancelled       bool
	startOverdue    bool // its missing start report has been counted as evidence
	zone            int
	cell            int
	sent            int64
	started         int64
	acknowledged    bool    // its worker has acknowledged the job
	lastNote        int64   // time of the latest report
	progress        float64 // fraction of its work that is done, by that report
	slotWork        float64 // slot-work that it adds to its worker's backlog
	missProbability float64 // probability, at the time of sending, that the worker had to fetch the data set
}

// job is a request from its arrival until its last attempt has ended.
type job struct {
	id                                       JobID
	generation                               uint32
	class, tenant, attemptCount, outstanding int
	answered, inUse                          bool
	key                                      uint64
	work, slots, value                       float64
	slotPrice                                float64 // value of the work that a slot could do in a second instead; see Job.SlotPrice
	uncounted                                int     // attempts that do not count, because they never reached a worker
	maxWork                                  float64 // larger of the expected work and the hint
	arrived, deadline, targetAt              int64
	reviewAt                                 int64 // time of its next review
	attempts                                 [maxAttemptsKept]attempt
}

// triedOn reports whether the job has been sent to a worker before.
func (j *job) triedOn(i int32) bool {
	for k := range j.attemptCount {
		if j.attempts[k].worker == i {
			return true
		}
	}
	return false
}

// worker is the state of one worker.
type worker struct {
	info                      WorkerInfo
	ready                     bool    // in phase Ready in the current list
	known                     bool    // the entry is in use
	outstanding               int     // own attempts without an outcome
	ownBacklog                float64 // slot-work of this scheduler's outstanding attempts, seconds
	recentSends               float64 // own jobs sent to it, decayed
	recentSendsAt             int64
	tableVersion              uint32  // version of the value table that tau and slope belong to
	run, work                 float64 // decayed sums of running times and work, for the slowdown
	reportedRun, reportedWork float64 // the same of the other schedulers, as they report
	statsAt                   int64   // when these were last decayed
	othersBacklog             float64 // others' backlog as last observed, seconds to drain
	othersBacklogAt           int64
	consecutiveFailures       int
	ejectedUntil              int64   // charged with ejectionPenalty until then
	missedStarts              int     // start reports missing since the last sign of life
	running                   float64 // slots of own jobs that have started
	lastAlive                 int64   // time of the last sign of life
	failures, successes       float64 // answers with an error and with a result, decayed
	slowStartSlot             int64   // number of the window that slowStartUsed counts, by time / OverloadWindow
	slowStartUsed             float64 // work sent in that window, seconds
	derivedAt                 int64
	slowdown, d, drainTime    float64 // running time per second of work; time to drain a mean job, and a second of slot-work
	slots                     float64
	headroom                  float64                   // backlog with which a one-slot job still starts at once, on average
	dataSets                  [dataSetsPerWorker]uint64 // data sets sent there, latest first
	tau, slope                []float64                 // for each class: tolerable backlog, seconds, and G' there
}

// kind is the state learned over all workers of a kind.
type kind struct {
	parallelRuns float64 // most slots of own jobs seen to run side by side, smoothed
	run, work    float64 // decayed sums of running times and work
	meanBacklog  float64 // mean backlog of others, in running times
	slots        float64 // most free slots reported recently
}

// zone is the state learned over all workers of a zone.
type zone struct {
	meanBacklog  float64 // mean backlog of others, in running times
	failureShare float64 // share of attempts that reached no worker or ended in an error, smoothed
}

// affinity holds the affinity workers of a data set, by rank, and the demand for it.
type affinity struct {
	workers     [affinityRanks]int32 // indexes into Scheduler.workers; -1 for none
	listVersion uint32               // list event that the ranking belongs to
	load        float64              // own slots for it per second, decayed
	at          int64

	reportedLoad  float64 // slots per second of the other schedulers, as they report; valid until reportedUntil
	reportedUntil int64
}

// Scheduler decides where the jobs of one dispatcher run. New makes one; see the package comment for its use.
type Scheduler struct {
	cfg         Config
	now         int64
	rngState    uint64 // state of the random generator
	workers     []worker
	byID        map[WorkerID]int32 // index into workers
	freeWorkers []int32
	ready       []int32 // indexes of ready workers in order of ID
	kinds       []kind
	allKinds    kind
	jobs        []job
	byJob       map[JobID]int32 // index into jobs
	freeJobs    []int32
	actions     []Action // actions of the current call

	affinities      map[uint64]*affinity // by data set
	listVersion     uint32               // number of list events
	perWorker       float64              // mean capacity of a worker, slot-work per second
	timers          timerHeap
	armedAt         int64 // time of the next wake-up that was requested; 0 = none
	acksSeen        bool  // workers have acknowledged jobs
	listFailures    int   // consecutive failed list requests
	subscribed      bool
	membershipStale bool // no worker may be sent anything, whatever the list says
	startedAt       int64
	yielded         bool    // a successor process has taken this scheduler's place
	rateCoverage    float64 // share of the arrival rates' memory that has been filled since the start

	rate, workRate   float64 // own arrivals, and slot-work served to them, per second
	ratesAt          int64
	classRate        []float64
	classShare       []float64 // fraction of its value that a job has by its tenant's quota, smoothed
	classWork        []float64 // mean work of a job, seconds
	meanWork         float64
	meanValue        float64
	classWeight      []float64 // share of the class in the arrivals times the value that a late job loses, in values of a mean job
	rho              float64   // utilisation of a worker
	table            *value.Table
	tableVersion     uint32 // counts changes of the table
	refreshedAt      int64
	meanWait         float64   // mean wait before a start, seconds
	baseDelay        []float64 // by zone: delay from sending to start without waiting, seconds
	quotaUsed        []float64 // by tenant: jobs counted against the quota, falling as it renews
	quotaUsedAt      []int64
	zones            []zone
	meanBacklog      float64    // mean backlog of others at all workers, in running times
	othersKnownUntil int64      // until then the other schedulers' work is known too
	contention       float64    // share of recent attempts that found no free slot
	fetchTime        float64    // time to fetch a data set, seconds
	lastEstimate     [3]float64 // result of LastJobEstimate
}

// SetMembershipStale switches on or off that the worker list may be stale and must not be acted on. Meanwhile jobs
// wait, as they do while there is no worker.
func (s *Scheduler) SetMembershipStale(now int64, on bool, out []Action) []Action {
	s.begin(now, out)
	s.membershipStale = on
	return s.end()
}

// EjectUntil ejects a worker until a time, by a decision of the fleet. As any ejection it adds to the worker's cost and
// ends with the next sign of life.
func (s *Scheduler) EjectUntil(now int64, id WorkerID, until int64) {
	s.now = max(s.now, now)
	if i, ok := s.byID[id]; ok {
		s.workers[i].ejectedUntil = max(s.workers[i].ejectedUntil, until)
	}
}

// Runs calls tell with the running times and work, in seconds, of this scheduler's own runs at each worker. Recent runs
// have the highest weight.
func (s *Scheduler) Runs(now int64, tell func(id WorkerID, run, work float64)) {
	s.now = max(s.now, now)
	for i := range s.workers {
		if w := &s.workers[i]; w.known && w.work > 0 {
			s.decayStats(w)
			tell(w.info.ID, w.run, w.work)
		}
	}
}

// RecordOthersRuns records the same sums of all other schedulers together, in place of those recorded before.
func (s *Scheduler) RecordOthersRuns(now int64, id WorkerID, run, work float64) {
	s.now = max(s.now, now)
	if i, ok := s.byID[id]; ok {
		s.decayStats(&s.workers[i])
		s.workers[i].reportedRun, s.workers[i].reportedWork = run, work
	}
}

// Outstanding calls tell with the outstanding slot-work, in seconds, of this scheduler at each worker that has any.
func (s *Scheduler) Outstanding(tell func(id WorkerID, work float64)) {
	for i := range s.workers {
		if w := &s.workers[i]; w.known && w.ownBacklog > 0 {
			tell(w.info.ID, w.ownBacklog)
		}
	}
}

// LastJobEstimate returns the estimates for the job that arrived last: its value in units of the settings, its
// slot-work in seconds, and for how many seconds it can wait and still meet its target.
func (s *Scheduler) LastJobEstimate() (worth, work, slack float64) {
	return s.lastEstimate[0], s.lastEstimate[1], s.lastEstimate[2]
}

// PendingWork returns the slot-work, in seconds, of this scheduler that has been sent and has not started, and the
// slot-work per second that all ready workers can do.
func (s *Scheduler) PendingWork() (work, capacity float64) {
	for i := range s.jobs {
		for _, a := range s.jobs[i].attempts[:s.jobs[i].attemptCount] {
			if a.outstanding && a.started == 0 && !a.cancelled {
				work += a.slotWork
			}
		}
	}
	for _, i := range s.ready {
		w := &s.workers[i]
		capacity += s.slotsOf(w) / s.slowdownOf(w) * s.warmupFactor(w)
	}
	return work, capacity
}

// WorkerView is the state of a worker for callers that place the parts of one job at several workers. Times are
// seconds.
type WorkerView struct {
	ID           WorkerID
	Zone, Cell   int
	Trusted      bool    // the worker is not ejected
	FullCapacity bool    // the worker has its full capacity
	Backlog      float64 // seconds to drain
	Headroom     float64 // largest backlog with which a job still starts at once, on average
	Slowdown     float64 // running time for a second of work
	// CongestionCost is the cost, in units of value of the settings, that a second of one slot here causes to later
	// jobs. It follows from the value function, and is limited to the value of the work that the slot could do, since
	// that much work can be refused instead.
	CongestionCost float64
}

// EachWorkerView calls tell with each ready worker, in the order of IDs, as seen by a job with the given work in
// seconds.
func (s *Scheduler) EachWorkerView(now int64, work float64, tell func(WorkerView)) {
	s.now = max(s.now, now)
	s.refreshEstimates()
	work = max(work, 1e-3)
	for _, i := range s.ready {
		w := &s.workers[i]
		s.derive(w)
		u := s.backlog(w)
		tell(WorkerView{ID: w.info.ID, Zone: w.info.Zone, Cell: w.info.Cell, Trusted: s.now >= w.ejectedUntil, FullCapacity: s.warmupFactor(w) == 1, Backlog: u,
			Headroom: w.headroomFor(1, s.meanWork), Slowdown: w.slowdown, CongestionCost: s.meanValue / w.slowdown * min(s.congestionCost(w, u, work/s.meanWork)/work, 1/s.meanWork)})
	}
}

// AdjustBacklog adds slot-work in seconds that another component placed to this scheduler's work at a worker; a
// negative value removes it.
func (s *Scheduler) AdjustBacklog(id WorkerID, work float64) {
	if i, ok := s.byID[id]; ok {
		s.workers[i].ownBacklog = max(s.workers[i].ownBacklog+work, 0)
	}
}

// Demand calls tell with the slots per second that this scheduler's clients request of each data set, as of now. Soon
// after the start the rate is extrapolated from the time observed, by at most a factor of ten, so that a single job
// does not count as many.
func (s *Scheduler) Demand(now int64, tell func(key uint64, load float64)) {
	for key, h := range s.affinities {
		if load := h.load * math.Exp(-seconds(max(now-h.at, 0))/rateTimeConstant); load > 1e-3 {
			tell(key, load/max(s.rateCoverage, 0.1))
		}
	}
}

// orDefault returns v if it is positive, else the default d.
func orDefault[T int64 | float64](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

func seconds(us int64) float64 { return float64(us) / 1e6 }

// random returns the next number of the scheduler's own pseudorandom sequence (xorshift64*).
func (s *Scheduler) random() uint64 {
	s.rngState ^= s.rngState << 13
	s.rngState ^= s.rngState >> 7
	s.rngState ^= s.rngState << 17
	return s.rngState * 0x2545F4914F6CDD1D
}

// uniform returns a pseudorandom number in [0, 1).
func (s *Scheduler) uniform() float64 { return float64(s.random()>>11) / (1 << 53) }

// allocWorker returns the index of an unused worker entry.
func (s *Scheduler) allocWorker() int32 {
	if n := len(s.freeWorkers); n > 0 {
		i := s.freeWorkers[n-1]
		s.freeWorkers = s.freeWorkers[:n-1]
		return i
	}
	n := len(s.cfg.Classes)
	both := make([]float64, 2*n)
	s.workers = append(s.workers, worker{tau: both[:n], slope: both[n:]})
	return int32(len(s.workers) - 1)
}

// freeWorker clears a worker entry for reuse.
func (s *Scheduler) freeWorker(i int32) {
	w := &s.workers[i]
	delete(s.byID, w.info.ID)
	*w = worker{tau: w.tau, slope: w.slope}
	s.freeWorkers = append(s.freeWorkers, i)
}

// hash64 mixes the bits of v (the finaliser of splitmix64).
func hash64(v uint64) uint64 {
	v = (v ^ v>>30) * 0xBF58476D1CE4E5B9
	v = (v ^ v>>27) * 0x94D049BB133111EB
	return v ^ v>>31
}

// allocJob returns the index of an unused job entry.
func (s *Scheduler) allocJob() int32 {
	if n := len(s.freeJobs); n > 0 {
		i := s.freeJobs[n-1]
		s.freeJobs = s.freeJobs[:n-1]
		return i
	}
	s.jobs = append(s.jobs, job{})
	return int32(len(s.jobs) - 1)
}

// outstandingAttempt returns attempt k of a job, and nil if it was never made or has ended.
func (s *Scheduler) outstandingAttempt(id JobID, k int) (int32, *job, *attempt) {
	i, ok := s.byJob[id]
	if !ok || k < 0 || k >= s.jobs[i].attemptCount || !s.jobs[i].attempts[k].outstanding {
		return -1, nil, nil
	}
	return i, &s.jobs[i], &s.jobs[i].attempts[k]
}

// decayAndAdd scales two sums by keep and adds r and k to them.
func decayAndAdd(run, work *float64, r, k, keep float64) {
	*run = *run*keep + r
	*work = *work*keep + k
}
