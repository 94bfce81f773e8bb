package logic

import (
	"granitewing/logic/value"
	"math"
)

// The records that the decisions in logic.go read and write; nothing is decided here.

// attempt is one sending of a job.
type attempt struct {
	worker          int32
	outstanding     bool // no outcome yet
	neverRan        bool // known not to have run
	cancelled       bool
	startOverdue    bool // its missing start note was already taken as evidence
	zone            int
	cell            int
	sent            int64
	started         int64
	acknowledged    bool    // its worker has said so
	lastNote        int64   // its latest note
	progress        float64 // of its work that is done, as that said
	slotWork        float64 // slot-work that it holds in its worker's backlog
	missProbability float64 // chance, as seen at sending, that the worker had to fetch its data set
}

// job is a request from its arrival until its last attempt has ended.
type job struct {
	id                                       JobID
	generation                               uint32
	class, tenant, attemptCount, outstanding int
	answered, inUse                          bool
	key                                      uint64
	work, slots, value                       float64
	slotPrice                                float64 // worth of a slot-second that its fleet has no room for
	uncounted                                int     // attempts that do not count, for they never reached their worker
	maxWork                                  float64 // work that it has by its hint, where that is more than what is expected
	arrived, deadline, targetAt              int64
	reviewAt                                 int64 // when it is next looked at
	attempts                                 [maxAttemptsKept]attempt
}

// tried tells whether a worker was sent the job already.
func (j *job) triedOn(i int32) bool {
	for k := range j.attemptCount {
		if j.attempts[k].worker == i {
			return true
		}
	}
	return false
}

// worker is what is known of one worker.
type worker struct {
	info                      WorkerInfo
	ready                     bool // named by the list as running
	known                     bool
	outstanding               int // own attempts out
	ownBacklog                float64
	recentSends               float64 // own jobs sent to it, faded
	recentSendsAt             int64
	tableVersion              uint32  // change of the table that tau and slope are of
	run, work                 float64 // decayed sums of running times and work, for the pace
	reportedRun, reportedWork float64 // the same of other schedulers, as far as they tell
	statsAt                   int64   // when these were last faded
	othersBacklog             float64 // others' backlog as last seen, seconds to drain
	othersBacklogAt           int64
	consecutiveFailures       int
	ejectedUntil              int64   // not trusted before then
	missedStarts              int     // start notes missing since the last sign of life
	running                   float64 // slots of own jobs that have started
	lastAlive                 int64   // last sign of life
	failures, successes       float64 // answers with an error and with a result, faded
	slowStartSlot             int64
	slowStartUsed             float64
	derivedAt                 int64
	slowdown, d, drainTime    float64
	slots                     float64
	headroom                  float64
	dataSets                  [dataSetsPerWorker]uint64 // data sets sent there, latest first
	tau, slope                []float64                 // for each class: waiting that it can bear, and G' there
}

// kind holds what is learned over all workers of a kind.
type kind struct {
	parallelRuns float64 // most slots of own jobs seen to run side by side
	run, work    float64
	meanBacklog  float64 // mean backlog of others, in running times
	slots        float64 // most free slots reported of late
}

// zone is what is learned over all workers of a zone.
type zone struct {
	meanBacklog  float64 // mean backlog of others, in running times
	failureShare float64 // share of attempts that found nobody or ended in an error
}

// homes is where a data set is kept, by rank, and how much it is asked for.
type affinity struct {
	workers     [affinityRanks]int32
	listVersion uint32  // the list event that the ranking is of
	load        float64 // own slot-work for it, a second
	at          int64

	reportedLoad  float64 // the other schedulers', as they say; believed until toldTill
	reportedUntil int64
}

// Scheduler makes the decisions of one dispatcher. Use New.
type Scheduler struct {
	cfg         Config
	now         int64
	rngState    uint64
	workers     []worker
	byID        map[WorkerID]int32
	freeWorkers []int32
	ready       []int32 // live workers in order of id
	kinds       []kind
	allKinds    kind
	jobs        []job
	byJob       map[JobID]int32
	freeJobs    []int32
	actions     []Action

	affinities      map[uint64]*affinity // where data sets are kept
	listVersion     uint32               // list events taken
	perWorker       float64              // mean capacity of a worker, slot-work a second
	timers          timerHeap
	armedAt         int64
	acksSeen        bool // workers have said that they had taken a job
	listFailures    int
	subscribed      bool
	membershipStale bool // no worker may be sent anything, whatever the list says
	startedAt       int64
	yielded         bool    // another process has this scheduler's place
	rateCoverage    float64 // share of the rate memory that has been filled since the start

	rate, workRate   float64 // own arrivals, and slot-work served to them, a second
	ratesAt          int64
	classRate        []float64
	classShare       []float64 // share of its worth that a job earns, for its tenant's quota
	classWork        []float64
	meanWork         float64
	meanValue        float64
	classWeight      []float64 // p_c E[H_c] in mean jobs, what a late one loses
	rho              float64
	table            *value.Table
	tableVersion     uint32 // changes of it
	refreshedAt      int64
	meanWait         float64 // mean wait seen before a start, seconds
	baseDelay        []float64
	quotaUsed        []float64 // of each tenant's quota, fading as it renews
	quotaUsedAt      []int64
	zones            []zone
	meanBacklog      float64
	othersKnownUntil int64   // until then the other schedulers' part is seen as well
	contention       float64 // share of attempts of late that found no free slot
	fetchTime        float64 // time to fetch a data set, seconds
	lastEstimate     [3]float64
}

// Doubt takes the news that what the list says may no longer be acted on, or may again. Jobs wait meanwhile, as they do while
// there is no worker.
func (s *Scheduler) Doubt(now int64, on bool, out []Action) []Action {
	s.begin(now, out)
	s.membershipStale = on
	return s.end()
}

// Verdict takes the word of a fleet that a worker is not to be trusted before a time. It is a cost, as an ejection is, and
// ends with the next sign of life.
func (s *Scheduler) Verdict(now int64, id WorkerID, until int64) {
	s.now = max(s.now, now)
	if i, ok := s.byID[id]; ok {
		s.workers[i].ejectedUntil = max(s.workers[i].ejectedUntil, until)
	}
}

// Ran gives the running times and work of this scheduler's own runs at each worker, recent ones weighing most.
func (s *Scheduler) Ran(now int64, tell func(id WorkerID, run, work float64)) {
	s.now = max(s.now, now)
	for i := range s.workers {
		if w := &s.workers[i]; w.known && w.work > 0 {
			s.decayStats(w)
			tell(w.info.ID, w.run, w.work)
		}
	}
}

// HeardRan takes the same of the other schedulers together, in place of what they told before.
func (s *Scheduler) HeardRan(now int64, id WorkerID, run, work float64) {
	s.now = max(s.now, now)
	if i, ok := s.byID[id]; ok {
		s.decayStats(&s.workers[i])
		s.workers[i].reportedRun, s.workers[i].reportedWork = run, work
	}
}

// Outstanding gives the slot-work that this scheduler has at each worker where it has any.
func (s *Scheduler) Outstanding(tell func(id WorkerID, work float64)) {
	for i := range s.workers {
		if w := &s.workers[i]; w.known && w.ownBacklog > 0 {
			tell(w.info.ID, w.ownBacklog)
		}
	}
}

// Weighed gives what the last job to arrive is taken for: its worth as the settings count it, its slot-work, and for how many
// seconds it can wait and still be in time.
func (s *Scheduler) Weighed() (worth, work, slack float64) {
	return s.lastEstimate[0], s.lastEstimate[1], s.lastEstimate[2]
}

// Waits gives the slot-work that this scheduler has at workers and that has not begun, and the slot-work a second that all
// ready workers can do.
func (s *Scheduler) Waits() (work, capacity float64) {
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

// View is a worker as those see it that place the parts of one job at several. Times are seconds.
type View struct {
	ID         WorkerID
	Zone, Cell int
	Trusted    bool    // it is not ejected
	Warm       bool    // and has its full capacity
	Backlog    float64 // to drain
	Room       float64 // with which a job still starts at once, on average
	Pace       float64 // running time for a second of work
	// Push is the worth, as the settings count it, that a second of one slot here costs those that come after: by the value
	// function, but no more than that of the work which the slot could do, since so much can be refused instead.
	Push float64
}

// View gives the ready workers in the order of their ids, as they are to a job of some work in seconds.
func (s *Scheduler) View(now int64, work float64, tell func(View)) {
	s.now = max(s.now, now)
	s.refreshEstimates()
	work = max(work, 1e-3)
	for _, i := range s.ready {
		w := &s.workers[i]
		s.derive(w)
		u := s.backlog(w)
		tell(View{ID: w.info.ID, Zone: w.info.Zone, Cell: w.info.Cell, Trusted: s.now >= w.ejectedUntil, Warm: s.warmupFactor(w) == 1, Backlog: u,
			Room: w.headroomFor(1, s.meanWork), Pace: w.slowdown, Push: s.meanValue / w.slowdown * min(s.congestionCost(w, u, work/s.meanWork)/work, 1/s.meanWork)})
	}
}

// Occupy adds slot-work in seconds that was not placed here to what this scheduler has at a worker, or takes it off (below 0).
func (s *Scheduler) Occupy(id WorkerID, work float64) {
	if i, ok := s.byID[id]; ok {
		s.workers[i].ownBacklog = max(s.workers[i].ownBacklog+work, 0)
	}
}

// Demand gives the slots a second for which this scheduler is asked with each data set, as of now. Soon after its start it
// has seen little, and says so much more for it; but no job alone counts as many.
func (s *Scheduler) Demand(now int64, tell func(key uint64, load float64)) {
	for key, h := range s.affinities {
		if load := h.load * math.Exp(-seconds(max(now-h.at, 0))/rateTimeConstant); load > 1e-3 {
			tell(key, load/max(s.rateCoverage, 0.1))
		}
	}
}

func orDefault[T int64 | float64](v, d T) T {
	if v > 0 {
		return v
	}
	return d
}

func seconds(us int64) float64 { return float64(us) / 1e6 }

// random is the next number of the scheduler's own sequence.
func (s *Scheduler) random() uint64 {
	s.rngState ^= s.rngState << 13
	s.rngState ^= s.rngState >> 7
	s.rngState ^= s.rngState << 17
	return s.rngState * 0x2545F4914F6CDD1D
}

func (s *Scheduler) uniform() float64 { return float64(s.random()>>11) / (1 << 53) }

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

func (s *Scheduler) freeWorker(i int32) {
	w := &s.workers[i]
	delete(s.byID, w.info.ID)
	*w = worker{tau: w.tau, slope: w.slope}
	s.freeWorkers = append(s.freeWorkers, i)
}

// mix is a finalising hash.
func hash64(v uint64) uint64 {
	v = (v ^ v>>30) * 0xBF58476D1CE4E5B9
	v = (v ^ v>>27) * 0x94D049BB133111EB
	return v ^ v>>31
}

// newJob finds a place for a job.
func (s *Scheduler) allocJob() int32 {
	if n := len(s.freeJobs); n > 0 {
		i := s.freeJobs[n-1]
		s.freeJobs = s.freeJobs[:n-1]
		return i
	}
	s.jobs = append(s.jobs, job{})
	return int32(len(s.jobs) - 1)
}

// find gives the attempt that a note or outcome speaks of, nil if it was never made or has ended.
func (s *Scheduler) outstandingAttempt(id JobID, k int) (int32, *job, *attempt) {
	i, ok := s.byJob[id]
	if !ok || k < 0 || k >= s.jobs[i].attemptCount || !s.jobs[i].attempts[k].outstanding {
		return -1, nil, nil
	}
	return i, &s.jobs[i], &s.jobs[i].attempts[k]
}

func decayAndAdd(run, work *float64, r, k, keep float64) {
	*run = *run*keep + r
	*work = *work*keep + k
}
