; Bursts of twice what the fleet can take.
(experiment overload
  (about "bursts to 45 jobs a second for 5 s, every 20 s")
  (seed 80)
  (virtual)
  (pairs 10)
  (load
    (process gamma (shape 0.5))
    (programme (burst (for 60s) (rate 10) (to 45) (every 20s) (lasts 5s))))
  (variant module)
  (variant two-choices (policy two))
  (variant least-held (policy least)))
