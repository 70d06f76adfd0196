"""A gateway whose disk delays each sync by some seconds: `python -m rigs.slow_disk SECONDS serve ...`."""

import sys
import time

from lilacloft.__main__ import main
from lilacloft.store.files import StoreDirectory

if __name__ == "__main__":
    sync = StoreDirectory.sync

    def slow_sync(self: StoreDirectory, name: str) -> None:
        """Sync after the delay."""
        time.sleep(float(sys.argv[1]))
        sync(self, name)

    StoreDirectory.sync = slow_sync
    sys.exit(main(sys.argv[2:]))
