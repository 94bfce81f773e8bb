; A quarter of the hosts is slow, and hosts crash now and then: on real sockets with the built dispatcher.
(experiment slow
  (about "24% of the hosts 5 times slower for 15 s; a crash; a host that resets")
  (seed 100)
  (length 40s)
  (load (rate 12))
  (slow (at 8s) (for 15s) (share 24%) (factor 5))
  (crash (at 26s) (for 5s) (hosts h2))
  (reset (at 30s) (for 3s) (hosts h5)))
