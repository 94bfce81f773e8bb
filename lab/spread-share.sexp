; The same jobs and hosts by a hundred real processes that share nothing, and by as many that tell each other what they hold,
; while one thing after another goes wrong between them: a zone is cut off from the others, links lose and delay and turn
; round what is said, some stand still, three in ten are killed and come back, a host is slow and nobody tells.
; Needs the build with fleets: gwlab fleet spread-share --program bin/granitewing-fleet
(experiment spread-share
  (about "100 processes by 50 hosts, alone and sharing, with faults between them")
  (seed 1)
  (pairs 2)
  (length 60s)
  (load (rate 70))
  (dispatchers 100)
  (fleet (hosts 50))
  (data-sets (count 220) (store 220))
  (link (at 10s) (for 10s) (of (zone dakar)) (peers others) (way to))
  (link
    (at 24s)
    (for 8s)
    (of (share 100%))
    (peers all)
    (manner late)
    (delay 250ms)
    (spread 500ms)
    (loss 30%)
    (twice 5%))
  (pause-dispatcher (at 34s) (for 8s) (of (share 10%)))
  (kill-dispatcher (at 45s) (for 5s) (of (share 30%)))
  (slow (at 52s) (for 8s) (hosts h3) (factor 8))
  ; The clients' front and the hosts share the machine with the dispatchers.
  (generator (lag 50ms) (scheduling 50ms))
  (variant alone)
  (variant sharing
    (settings "(granitewing (fleet (label \"spread\") (bind \"{gossip}\") (advertise \"{told}\") (join {seeds})))")))
