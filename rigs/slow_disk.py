"""A gateway whose disk does not answer for a while: `python -m rigs.slow_disk SECONDS serve ...`."""

import sys
import time

from lilacloft.__main__ import main
from lilacloft.store.files import Folder

if __name__ == "__main__":
    sync = Folder.sync

    def slow(self: Folder, name: str) -> None:
        time.sleep(float(sys.argv[1]))
        sync(self, name)

    Folder.sync = slow
    sys.exit(main(sys.argv[2:]))
