; what a req costs as the fleet grows: docs/results/emulator.md
(experiment "scale"
  (worlds (scaled 10 2 60 (name "10")) (scaled 100 25 300 (name "100")) (scaled 1000 250 1000 (name "1000"))
          (scaled 2000 500 1500 (name "2000")))
  (faults none (drawn 5))
  (seeds 1 4)
  (measures cpu_us events worth broken))
