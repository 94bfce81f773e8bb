; The newcomer's day: 9 hosts of three kinds in three zones, 3 dispatchers, 14 jobs a second of four classes for 20 s,
; with one slow spell and one drain.
(experiment demo
  (about "nine hosts, one slow spell, one drain")
  (seed 7)
  (load (rate 14) (process poisson))
  (length 20s)
  (slow (at 5s) (for 6s) (hosts h4) (factor 5))
  (drain (at 12s) (hosts h7) (grace 4s))
  ; A newcomer's machine may be small and busy.
  (generator (lag 50ms) (scheduling 50ms)))
