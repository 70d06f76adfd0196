"""A gateway whose disk takes some seconds for each sync: `python -m rigs.slow_disk SECONDS serve ...`."""

import sys
import time

from lilacloft.__main__ import main
from lilacloft.store.files import StoreDirectory

if __name__ == "__main__":
    sync = StoreDirectory.sync

    def slow_sync(self: StoreDirectory, name: str) -> None:
        """Wait, then sync."""
        time.sleep(float(sys.argv[1]))
        sync(self, name)

    StoreDirectory.sync = slow_sync
    sys.exit(main(sys.argv[2:]))
