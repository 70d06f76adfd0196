; Operators' settings for `lilacloft serve --settings`. Every part may be left out; without the file all of it is
; off, as on the platform. Paths count from this file's folder. Spans: us ms s min h.
(lilacloft
  (log (format text))                  ; text or json
  (upgrade
    (handover "handover.sock")         ; where `lilacloft upgrade --handover` finds the gateway
    (mode whole)                       ; whole: open reqs go over; drain: the old process finishes them
    (limits                            ; of each phase; nothing is served in `taking` and `committed`
      (starting 10s)
      (warming 10s)
      (ready 2s)
      (taking 300ms)
      (committed 300ms)
      (letting-go 8s))))
