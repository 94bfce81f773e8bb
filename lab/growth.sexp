; The fleet grows 2.8 times within 15 s, new hosts cold, and traffic follows.
(experiment growth
  (about "9 to 25 hosts within 15 s, traffic follows to 2.5 times")
  (seed 20)
  (virtual)
  (pairs 10)
  (load
    (programme
      (constant (for 10s) (rate 12))
      (ramp (for 15s) (rate 12) (to 30))
      (constant (for 30s) (rate 30))))
  (grow (at 8s) (for 15s) (count 16))
  (variant module)
  (variant two-choices (policy two))
  (variant least-held (policy least))
  (variant random (policy random)))
