; What it costs that each dispatcher sees a sliver: the same jobs and hosts, one dispatcher that sees all against many
; that share nothing, and plain policies beside them. Nothing fails.
(experiment spread
  (about "100 hosts, 140 jobs a second, 1 to 300 dispatchers that share nothing")
  (seed 1)
  (pairs 5)
  (virtual)
  (length 40s)
  (load (rate 140))
  (fleet (hosts 100))
  (data-sets (count 440) (store 440))
  (dispatchers 300)
  (variant one (dispatchers 1))
  (variant ten (dispatchers 10))
  (variant hundred (dispatchers 100))
  (variant alone)
  (variant least-held (policy least))
  (variant two-choices (policy two))
  (variant random (policy random)))
