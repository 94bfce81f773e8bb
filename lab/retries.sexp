; An overload of twenty seconds by clients that try twenty times again, most of them at once, on a fleet that is two thirds full
; without it: how long it takes until service is back, or whether it comes back at all.
(experiment retries
  (about "100 dispatchers by 100 hosts, 20 s of 300 jobs a second between 170, clients that try 20 times again")
  (seed 31)
  (pairs 1)
  (virtual)
  (load
    (programme
      (constant (for 10s) (rate 170))
      (constant (for 20s) (rate 300))
      (constant (for 40s) (rate 170))))
  (fleet (hosts 100))
  (data-sets (count 440) (store 440))
  (dispatchers 100)
  (clients (retries 20) (wait 300ms) (follow-retry-after 0.2))
  (variant one (dispatchers 1))
  (variant sharing (share (every 100ms) (late 5ms 50ms)))
  (variant price (share (every 100ms) (late 5ms 50ms) (slack on))))
