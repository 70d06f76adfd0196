; one level against two: docs/results/planes.md
(experiment "one level against two"
  (worlds (scaled 200 50 800 (name "200 caches, 50 gateways") (span 4s)))
  (faults none (drawn 5))
  (policies module planes planes-troubled)
  (seeds 1 12)
  (against module)
  (measures worth p99 denied broken cpu_us))
