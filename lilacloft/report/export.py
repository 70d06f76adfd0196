"""Export of records: the summaries as CSV, or all records as SQLite.

SQLite rather than Parquet: it is in the standard library, holds several tables in one file, and can be
queried directly. A Parquet library of 40 MB is not justified, as the report itself does not need it.
"""

from __future__ import annotations

import csv
import json
import os
import sqlite3
from typing import Any

Rows = list[tuple[str, str, dict[str, Any]]]
VHOST_FIELDS = ("reqs", "done", "denied", "aborted", "left", "late", "dispatches", "hits", "at_once", "value")
BACKEND_FIELDS = (
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
    """Return a row for each summary and virtual host or backend."""
    out = []
    for gateway, run, record in rows:
        if record["kind"] != "second":
            continue
        head = [gateway, run, record.get("wall", 0) / 10, record["span"] / 10]
        for name, vhost in (record.get("vhosts") or {}).items():
            out.append(
                [
                    *head,
                    "vhost",
                    name,
                    *(vhost.get(field, 0) for field in VHOST_FIELDS),
                    *[""] * len(BACKEND_FIELDS),
                ]
            )
        for name, backend in (record.get("bes") or {}).items():
            out.append(
                [
                    *head,
                    "be",
                    name,
                    *[""] * len(VHOST_FIELDS),
                    *(backend.get(field, "") for field in BACKEND_FIELDS),
                ]
            )
    return out


def to_csv(rows: Rows, out: str) -> None:
    """Write the summaries to a CSV file; times and durations are in milliseconds."""
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
                *(f"vhost_{field}" for field in VHOST_FIELDS),
                *(f"be_{field}" for field in BACKEND_FIELDS),
            ]
        )
        writer.writerows(summaries(rows))


def to_sqlite(rows: Rows, out: str) -> None:
    """Write all records as JSON to the table `records` of a SQLite file, and the summaries to `vhosts` and
    `bes`. The file is written under a temporary name and renamed when complete."""
    temporary_path = f"{out}.part"
    if os.path.exists(temporary_path):
        os.unlink(temporary_path)
    with sqlite3.connect(temporary_path) as database:
        database.execute(
            "create table records (gateway text, run text, number integer, wall_ms real, "
            "steady_ms real, kind text, record text)"
        )
        database.executemany(
            "insert into records values (?, ?, ?, ?, ?, ?, ?)",
            (
                (
                    gateway,
                    run,
                    record.get("number", 0),
                    record.get("wall", 0) / 10,
                    record.get("steady", 0) / 10,
                    record["kind"],
                    json.dumps(record),
                )
                for gateway, run, record in rows
            ),
        )
        head = "gateway text, run text, wall_ms real, span_ms real, name text"
        for table, fields in (("vhosts", VHOST_FIELDS), ("bes", BACKEND_FIELDS)):
            columns = ", ".join(f'"{field}" real' for field in fields)  # quoted, as `limit` is an SQL keyword
            database.execute(f"create table {table} ({head}, {columns})")
        for line in summaries(rows):
            table, name = f"{line[4]}s", line[5]
            values = line[6 : 6 + len(VHOST_FIELDS)] if line[4] == "vhost" else line[6 + len(VHOST_FIELDS) :]
            placeholders = ", ".join("?" * (5 + len(values)))
            database.execute(f"insert into {table} values ({placeholders})", [*line[:4], name, *values])
        database.execute("create index by_time on records (wall_ms)")
    database.close()
    os.replace(temporary_path, out)
