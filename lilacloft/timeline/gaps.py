"""Finds the gaps in a gateway's records, and their bounds. No I/O; times are Unix milliseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lilacloft.record.reader import Run
from lilacloft.record.record_types import ClockStep, DroppedRecords, Record, Start, Stop
from lilacloft.timeline.clocks import Clock, local_time

MAX_SILENCE = 13_000.0  # ms without a record: an idle gateway writes one every ten seconds
EARLY_END_MARGIN = 5_000.0  # ms by which other records must go on before a gateway is said to have ended


@dataclass(frozen=True)
class Gap:
    """An interval that a gateway's records do not cover."""

    gateway: str
    begin: float
    end: float | None  # None: up to the end of all records
    kind: str  # restart, upgrade, lost, missing, silent, ended, clock
    why: str
    planned: bool = False
    uncertainty: float = 0.0


def find_gaps(
    runs: Mapping[str, list[Run]], clocks: Mapping[str, Clock], last: float | None = None
) -> list[Gap]:
    """Return all gaps by time and gateway. `last`: time of the last of all records. A gateway without any
    records is not reported here."""
    out: list[Gap] = []
    all_runs = [run for gateway_runs in runs.values() for run in gateway_runs if run.records]
    if last is None:
        last = max((_common_time(run, run.records[-1], clocks) for run in all_runs), default=0.0)
    for gateway, gateway_runs in runs.items():
        gateway_runs = [run for run in gateway_runs if run.records]
        gateway_runs.sort(key=lambda run: _common_time(run, run.records[0], clocks))
        for index, run in enumerate(gateway_runs):
            clock = clocks[run.name]
            out += _gaps_within_run(gateway, run, clocks)
            end = _common_time(run, run.records[-1], clocks)
            stop = next((record for record in reversed(run.records) if isinstance(record, Stop)), None)
            if index + 1 < len(gateway_runs):
                following = gateway_runs[index + 1]
                start = next((record for record in following.records if isinstance(record, Start)), None)
                kind = "upgrade" if start and start.reason == "upgrade" else "restart"
                ended = "shut down cleanly" if stop else "ended without a stop record"
                why = "replaced by a new process" if kind == "upgrade" else f"{ended} and started again"
                begin = _common_time(following, following.records[0], clocks)
                out.append(
                    Gap(
                        gateway,
                        min(end, begin),
                        max(begin, end),
                        kind,
                        why,
                        stop is not None,
                        clock.uncertainty + clocks[following.name].uncertainty,
                    )
                )
            elif stop is not None and last - end > EARLY_END_MARGIN:
                why = f"shut down cleanly ({stop.reason})"
                out.append(Gap(gateway, end, None, "ended", why, True, clock.uncertainty))
            elif stop is None and last - end > EARLY_END_MARGIN:
                out.append(
                    Gap(
                        gateway,
                        end,
                        None,
                        "ended",
                        "no more records, and no stop record",
                        False,
                        clock.uncertainty,
                    )
                )
    return sorted(out, key=lambda gap: (gap.begin, gap.gateway))


def _common_time(run: Run, record: Record, clocks: Mapping[str, Clock]) -> float:
    return clocks[run.name].to_common(local_time(run, record))


def _gaps_within_run(gateway: str, run: Run, clocks: Mapping[str, Clock]) -> list[Gap]:
    """Return the gaps within one run: missing numbers, silence, lost records, and steps of the clock."""
    out: list[Gap] = []
    uncertainty = clocks[run.name].uncertainty
    numbered = [record for record in run.records if record.number]
    first = numbered[0] if numbered else None
    if first is not None and first.number > 1:
        at = _common_time(run, first, clocks)
        start = min(at, clocks[run.name].to_common(_process_start(run)))
        why = f"the first {first.number - 1} records are missing: removed by rotation, or files not given"
        out.append(Gap(gateway, start, at, "missing", why, False, uncertainty))
    for before, after in zip(numbered, numbered[1:], strict=False):
        begin, end = _common_time(run, before, clocks), _common_time(run, after, clocks)
        missing = after.number - before.number - 1
        if missing > 0:
            dropped = next(
                (
                    record
                    for record in run.records
                    if isinstance(record, DroppedRecords) and before.monotonic_time <= record.monotonic_time
                ),
                None,
            )
            why = f"{missing} records lost: {dropped.reason}" if dropped else f"{missing} records are missing"
            out.append(Gap(gateway, begin, end, "lost" if dropped else "missing", why, False, uncertainty))
        elif end - begin > MAX_SILENCE:
            why = "no records written: the process was suspended or blocked"
            out.append(Gap(gateway, begin, end, "silent", why, False, uncertainty))
    for record in run.records:
        if isinstance(record, ClockStep):
            at = _common_time(run, record, clocks)
            why = f"system clock set by {record.step / 10:+.0f} ms; events are ordered by the monotonic clock"
            out.append(Gap(gateway, at, at, "clock", why, True, uncertainty))
    return out


def _process_start(run: Run) -> float:
    """Return when the process started, from the name of its run."""
    digits = run.head.run.split("-")[0]
    return int(digits) / 10 if digits.isdigit() else local_time(run, run.records[0])
