; Dispatchers with a store of record are killed at random points; the records are held against clients and hosts.
(experiment store-kills
  (about "dispatchers killed 200 times at random under load, SQLite store of record")
  (seed 300)
  (length 5m)
  (load (rate 30))
  (audit-records)
  ; It is about records and not about times.
  (generator (lag 200ms) (scheduling 200ms))
  (settings "(granitewing (record (store sqlite \"{dir}/{name}.db\") (class alert-send before) (class ingest-batch told (repeat 40s)) (class sea-state told)))")
  (class latest-readings (share 0.4) (work 60ms) (aim 1s) (give-up 6s) (repeat safe))
  (class sea-state (share 0.2) (work 100ms) (aim 1s) (give-up 15s) (repeat safe))
  (class ingest-batch (share 0.15) (work 100ms) (aim 2s) (give-up 15s) (repeat keyed))
  (class alert-send (share 0.25) (work 100ms) (aim 1s) (give-up 15s) (repeat unsafe))
  (data-sets (count 20) (kept 20) (fetch 20ms 50ms))
  (chance kill-dispatcher (rate 40) (for 200ms 600ms))
  (chance crash (rate 3) (for 1s 3s)))
