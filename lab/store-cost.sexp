; What a store of record costs: the same days without one and with SQLite.
(experiment store-cost
  (about "a SQLite store of record against none, short jobs")
  (seed 600)
  (pairs 6)
  (margin 1%)
  (length 15s)
  (load (rate 40))
  (class latest-readings (share 0.5) (work 20ms) (aim 1s) (give-up 6s) (repeat safe))
  (class ingest-batch (share 0.25) (work 20ms) (aim 1s) (give-up 15s) (repeat keyed))
  (class alert-send (share 0.25) (work 20ms) (aim 1s) (give-up 15s) (repeat unsafe))
  (data-sets (count 0))
  (variant without)
  (variant sqlite
    (settings "(granitewing (record (store sqlite \"{dir}/{name}.db\") (class alert-send before) (class ingest-batch told)))")))
