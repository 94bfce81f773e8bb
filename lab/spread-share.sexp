; The same jobs and hosts by a hundred real processes that share nothing, and by as many that tell each other what they hold.
; Needs the build with fleets: gwlab fleet spread-share --program bin/granitewing-fleet
(experiment spread-share
  (about "100 processes by 50 hosts, alone and sharing")
  (seed 1)
  (pairs 2)
  (length 25s)
  (load (rate 70))
  (dispatchers 100)
  (fleet (hosts 50))
  (data-sets (count 220) (store 220))
  (generator (lag 50ms) (scheduling 50ms))
  (variant alone)
  (variant sharing
    (settings "(granitewing (fleet (label \"spread\") (bind \"{gossip}\") (join {seeds})))")))
