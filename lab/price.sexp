; Half as much again as the fleet can do, for twenty seconds, by clients that try again: one dispatcher that sees all, a hundred that
; tell each other what they hold, and a hundred that let jobs in by one price as well.
(experiment price
  (about "100 dispatchers by 100 hosts, 20 s of 300 jobs a second between 120, with one price and without")
  (seed 31)
  (pairs 2)
  (virtual)
  (load
    (programme
      (constant (for 10s) (rate 120))
      (constant (for 20s) (rate 300))
      (constant (for 15s) (rate 120))))
  (fleet (hosts 100))
  (data-sets (count 440) (store 440))
  (dispatchers 100)
  (variant one (dispatchers 1))
  (variant sharing (share (every 100ms) (late 5ms 50ms)))
  (variant price (share (every 100ms) (late 5ms 50ms) (slack on))))
