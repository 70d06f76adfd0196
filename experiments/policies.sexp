; every policy in every world: docs/results/emulator.md
(experiment "policies by worlds"
  (worlds (world small (span 6s)) (world sites (span 4s)) (world videos (span 6s)) (world thin (span 6s))
          (world flash (span 8s)) (world writes (span 6s)) (world day (span 20s)) (world full (span 6s))
          (world one-offs (span 6s)))
  (faults none (drawn 3))
  (policies module hash bounded random two least hash+health two+health least+health no-joins no-renewals
            oracle (revision "f8f7206") (revision "7e7cf5d"))
  (seeds 1 12)
  (against module)
  (measures worth p99 hits fetched))
