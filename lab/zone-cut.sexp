; One zone is cut off from the two others for 10 s: silence, then resets.
(experiment zone-cut
  (about "ziguinchor cut off for 10 s")
  (seed 60)
  (virtual)
  (pairs 10)
  (length 45s)
  (load (rate 12))
  (partition (at 10s) (for 10s) (zones dakar ziguinchor))
  (partition (at 10s) (for 10s) (zones saint-louis ziguinchor))
  (variant module)
  (variant two-choices (policy two))
  (variant least-held (policy least)))
