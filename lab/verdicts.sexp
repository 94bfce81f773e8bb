; Some hosts answer errors and some refuse connections, for fifteen seconds, and nobody tells: a hundred dispatchers that
; tell each other what they hold, alone and with votes on the hosts.
(experiment verdicts
  (about "100 dispatchers by 40 hosts of which five fail, with votes on them and without")
  (dispatchers 100)
  (length 30s)
  (load (rate 60))
  (clients (retries 0))
  (class reading (share 0.6) (work 200ms) (aim 1500ms) (give-up 3s) (repeat safe) (worth 1))
  (class alert (share 0.4) (work 200ms) (aim 1500ms) (give-up 3s) (repeat unsafe) (worth 3))
  (data-sets (count 0))
  (fleet (hosts 40))
  (seed 5)
  (pairs 5)
  (errors (at 5s) (for 15s) (hosts h1 h7 h12))
  (refuse (at 5s) (for 15s) (hosts h3 h9))
  (virtual)
  (variant sharing (share (every 100ms) (late 2ms 20ms)))
  (variant verdicts (share (every 100ms) (late 2ms 20ms) (verdicts on))))
