"""A gateway whose disk does not answer for a while: `python -m rigs.slow_disk SECONDS serve ...`."""

import sys
import time

from lilacloft.__main__ import main
from lilacloft.store.files import StoreDirectory

if __name__ == "__main__":
    sync = StoreDirectory.sync

    def slow(self: StoreDirectory, name: str) -> None:
        time.sleep(float(sys.argv[1]))
        sync(self, name)

    StoreDirectory.sync = slow
    sys.exit(main(sys.argv[2:]))
