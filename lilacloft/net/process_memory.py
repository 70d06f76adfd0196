"""The memory of this process, as counted by the Linux kernel (proc(5))."""

from __future__ import annotations

from pathlib import Path

STATUS = Path("/proc/self/status")
ANONYMOUS_PAGES = "RssAnon:"
BYTES_PER_KB = 1024


def anonymous_memory(status: Path = STATUS) -> int:
    """Return the anonymous pages of this process, in bytes; 0 if the kernel does not tell."""
    try:
        for line in status.read_text().splitlines():
            if line.startswith(ANONYMOUS_PAGES):
                return int(line.split()[1]) * BYTES_PER_KB
    except (OSError, ValueError, IndexError):
        return 0
    return 0
