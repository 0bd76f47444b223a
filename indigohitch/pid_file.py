"""The file that names the process that is the service, for whoever sends it signals."""

from __future__ import annotations

import os

from .encoding.files import write_atomically
from .errors import error_fields
from .log import Log


class PidFile:
    def __init__(self, path: str, log: Log) -> None:
        """`path` empty: none is kept."""
        self.path, self.log = path, log

    def write(self) -> None:
        if self.path:
            try:
                write_atomically(self.path, b"%d\n" % os.getpid())
            except OSError as bad:
                self.log.warning("no_pidfile", **error_fields(bad))
