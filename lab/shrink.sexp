; Traffic falls and the fleet shrinks to half.
(experiment shrink
  (about "25 to 12 hosts within 15 s while traffic falls")
  (seed 40)
  (virtual)
  (pairs 10)
  (fleet (hosts 25))
  (load
    (programme
      (constant (for 10s) (rate 30))
      (ramp (for 15s) (rate 30) (to 14))
      (constant (for 20s) (rate 14))))
  (shrink (at 10s) (for 15s) (count 13) (grace 4s))
  (variant module)
  (variant two-choices (policy two))
  (variant least-held (policy least)))
