; every setting that an operator may write, none as it is by itself
(lilacloft
  (log (format json))
  (record
    (folder "run/records")
    (file 2.5MB)
    (age 30min)
    (total 32MiB)
    (prometheus "run/metrics.prom")
    (connect "/run/lilacloft/records.sock"))
  (plan
    (planners "p1=10.0.0.8:7200, p2=planner.example:7201")
    (zones (leave across)))
  (store (folder "run/store") (patience 75ms))
  (upgrade
    (handover "/run/lilacloft/handover.sock")
    (mode drain)
    (limits
      (starting 11s)
      (warming 12500ms)
      (ready 2.5s)
      (taking 350ms)
      (committed 450ms)
      (letting-go 1.5min))))
