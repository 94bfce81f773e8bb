; All hosts of a zone are replaced by cold ones while 200 processes send to them: the budget for cold hosts holds for all of
; the processes together, whether they share or not.
; Needs the build with fleets: gwlab fleet cold-zone --program bin/granitewing-fleet
(experiment cold-zone
  (about "a zone of cold hosts, 200 processes that share")
  (seed 1)
  (length 25s)
  (load (rate 60))
  (dispatchers 200)
  (fleet (hosts 48))
  (data-sets (count 220) (store 220))
  (churn (at 5s) (zone dakar))
  ; The clients' front and the hosts share the machine with the dispatchers.
  (generator (lag 50ms) (scheduling 50ms))
  (settings "(granitewing (fleet (label \"cold\") (bind \"{gossip}\") (advertise \"{told}\") (join {seeds})))"))
