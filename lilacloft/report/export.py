"""Records in other programs' forms: CSV of the summaries, SQLite of everything.

SQLite rather than Parquet: it is in the standard library, holds several tables in one file, and can be
asked at once; a library of 40 MB for columns that the report reads by itself was not worth its weight.
"""

from __future__ import annotations

import csv
import json
import os
import sqlite3
from typing import Any

Rows = list[tuple[str, str, dict[str, Any]]]
VHOST = ("reqs", "done", "denied", "aborted", "left", "late", "dispatches", "hits", "at_once", "value")
BE = (
    "dispatches",
    "done",
    "late",
    "fills",
    "waited",
    "waits",
    "flight",
    "util",
    "limit",
    "suspect",
    "status",
)


def summaries(rows: Rows) -> list[list[Any]]:
    """One line a summary and vhost or be."""
    out = []
    for gateway, run, plain in rows:
        if plain["kind"] != "second":
            continue
        head = [gateway, run, plain.get("wall", 0) / 10, plain["span"] / 10]
        for name, vhost in (plain.get("vhosts") or {}).items():
            out.append([*head, "vhost", name, *(vhost.get(field, 0) for field in VHOST), *[""] * len(BE)])
        for name, backend in (plain.get("bes") or {}).items():
            out.append([*head, "be", name, *[""] * len(VHOST), *(backend.get(field, "") for field in BE)])
    return out


def to_csv(rows: Rows, out: str) -> None:
    """Summaries; times and spans in milliseconds."""
    with open(out, "w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(
            [
                "gateway",
                "run",
                "wall_ms",
                "span_ms",
                "of",
                "name",
                *(f"vhost_{field}" for field in VHOST),
                *(f"be_{field}" for field in BE),
            ]
        )
        writer.writerows(summaries(rows))


def to_sqlite(rows: Rows, out: str) -> None:
    """Table `records` has every record with its JSON; `vhosts` and `bes` have the summaries."""
    beside = f"{out}.part"
    if os.path.exists(beside):
        os.unlink(beside)
    with sqlite3.connect(beside) as base:
        base.execute(
            "create table records (gateway text, run text, number integer, wall_ms real, "
            "steady_ms real, kind text, record text)"
        )
        base.executemany(
            "insert into records values (?, ?, ?, ?, ?, ?, ?)",
            (
                (
                    gateway,
                    run,
                    plain.get("number", 0),
                    plain.get("wall", 0) / 10,
                    plain.get("steady", 0) / 10,
                    plain["kind"],
                    json.dumps(plain),
                )
                for gateway, run, plain in rows
            ),
        )
        head = "gateway text, run text, wall_ms real, span_ms real, name text"
        for table, fields in (("vhosts", VHOST), ("bes", BE)):
            columns = ", ".join(f'"{field}" real' for field in fields)  # limit is a word of the language's
            base.execute(f"create table {table} ({head}, {columns})")
        for line in summaries(rows):
            table, name = f"{line[4]}s", line[5]
            values = line[6 : 6 + len(VHOST)] if line[4] == "vhost" else line[6 + len(VHOST) :]
            placeholders = ", ".join("?" * (5 + len(values)))
            base.execute(f"insert into {table} values ({placeholders})", [*line[:4], name, *values])
        base.execute("create index by_time on records (wall_ms)")
    base.close()
    os.replace(beside, out)
