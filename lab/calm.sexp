; A calm day: no failure, a third of what the fleet can take.
(experiment calm (about "no failure, 10 jobs a second") (seed 1) (length 30s) (load (rate 10)))
