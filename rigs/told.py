"""Output of the final report of a rig: printed as JSON, and written to a file if one is named."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


def tell(report: dict[str, Any], file: str | None) -> None:
    """Print a report and, if a file is named, write it there."""
    text = json.dumps(report, indent=1)
    if file:
        Path(file).write_text(text + "\n")
    print(text)
