; Many real processes and what happens between them, one fault after another: a fifth of the dispatchers hears nothing of
; half of the hosts, the links of a zone are reset, messages stop in the middle, three in ten are killed at once and come
; back, one in ten stands still, a tenth is started anew under the same names while the old processes still answer.
(experiment spread-processes
  (about "200 processes by 100 hosts, links and processes that fail")
  (seed 1)
  (length 60s)
  (load (rate 140))
  (dispatchers 200)
  (fleet (hosts 100))
  (data-sets (count 440) (store 440))
  (link (at 6s) (for 6s) (of (share 20%)) (share 50%) (way from))
  (link (at 16s) (for 5s) (of (zone dakar)) (share 30%) (manner reset))
  (link (at 24s) (for 4s) (of (share 10%)) (share 50%) (manner half))
  (link (at 24s) (for 8s) (of (share 30%)) (discovery) (way to))
  (link (at 30s) (for 5s) (of (share 30%)) (manner late) (delay 250ms))
  (kill-dispatcher (at 37s) (for 5s) (of (share 30%)))
  (pause-dispatcher (at 44s) (for 8s) (of (share 10%)))
  (restart-dispatcher (at 53s) (for 300ms) (of (share 10%)))
  ; The clients' front and the hosts share the machine with the dispatchers.
  (generator (lag 50ms) (scheduling 50ms)))
