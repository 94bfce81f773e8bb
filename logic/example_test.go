package logic_test

import (
	"fmt"

	"granitewing/logic"
)

// The caller of a scheduler carries out the actions of each call in their order; this example prints them.
func ExampleScheduler() {
	s, err := logic.New(logic.Config{
		Classes:     []logic.Class{{TargetLatency: 500_000, Deadline: 2_000_000, Value: 1, Repeat: logic.RepeatSafe, WorkerKind: -1}},
		MaxAttempts: 3,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(what string, acts []logic.Action) {
		for _, a := range acts {
			switch a.Kind {
			case logic.ActSend:
				fmt.Printf("%s: send job %d to worker %d\n", what, a.Job, a.Worker)
			case logic.ActRefuse:
				fmt.Printf("%s: refuse job %d\n", what, a.Job)
			}
		}
	}
	both := []logic.WorkerInfo{{ID: 1, Weight: 1, Phase: logic.Ready}, {ID: 2, Weight: 1, Phase: logic.Ready}}
	show("list", s.Workers(1_000_000, logic.ListFull, both, nil))
	acts := s.Arrive(1_001_000, logic.Job{ID: 7, Hint: 100_000, Deadline: 3_000_000}, nil)
	show("arrival", acts)
	first := acts[0].Worker
	acts = s.Outcome(1_010_000, logic.Outcome{Job: 7, Worker: first, Result: logic.ConnectFailed, Elapsed: 9000}, nil)
	fmt.Println("another worker:", acts[0].Worker != first)
	show("served", s.Outcome(1_120_000, logic.Outcome{Job: 7, Attempt: 1, Worker: acts[0].Worker,
		Result: logic.Served, Elapsed: 110_000, Settled: true}, nil))
	show("drain", s.Workers(1_200_000, logic.ListDelta, []logic.WorkerInfo{{ID: 1, Phase: logic.Draining}}, nil))
	show("arrival", s.Arrive(1_201_000, logic.Job{ID: 8, Hint: 100_000, Deadline: 3_000_000}, nil))
	// Output:
	// arrival: send job 7 to worker 1
	// another worker: true
	// arrival: send job 8 to worker 2
}
