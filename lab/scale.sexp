; What size costs: service, CPU of a message and memory of a host, by hosts and dispatchers, at about 60% load.
(experiment scale
  (about "10 to 4,000 hosts by 1, 3 and 30 dispatchers in virtual time")
  (seed 5)
  (virtual)
  (length 30s)
  (load (rate 14))
  (sweep (hosts 10 100 1000 4000) (dispatchers 1 3 30) (jobs 30000) (budget 12s))
  (variant module))
