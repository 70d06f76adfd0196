"""What a rig ends with: its report as JSON, printed, and in a file where one is named."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


def tell(report: dict[str, Any], file: str | None) -> None:
    """Print a report, and write it to a file."""
    text = json.dumps(report, indent=1)
    if file:
        Path(file).write_text(text + "\n")
    print(text)
