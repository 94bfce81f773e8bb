; The store is silent for 20 s of 40: the classes that don't need it must not notice.
(experiment store-silent
  (about "a PostgreSQL store of record that is silent for 20 s, against the same day undisturbed")
  (seed 500)
  (pairs 5)
  (margin 1%)
  (length 40s)
  (load (rate 10))
  (postgres)
  (class latest-readings (share 0.8) (work 60ms) (aim 1s) (give-up 6s) (repeat safe))
  (class alert-send (share 0.2) (work 100ms) (aim 1s) (give-up 15s) (repeat unsafe))
  (clients (retries 0))
  (data-sets (count 20) (kept 20) (fetch 20ms 50ms))
  (store-silent (at 10s) (for 20s))
  (variant without (settings ""))
  (variant with
    (settings "(granitewing (record (store postgres \"{postgres}\") (class alert-send before)))")))
