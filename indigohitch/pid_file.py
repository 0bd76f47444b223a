"""The pid file, by which operators and scripts find the serving process to send it signals."""

from __future__ import annotations

import os

from .encoding.files import write_atomically
from .errors import error_fields
from .log import Log


class PidFile:
    """The pid file at the path that the operator configured; an empty path means that there is none."""

    def __init__(self, path: str, log: Log) -> None:
        self.path = path
        self.log = log

    def write(self) -> None:
        """Writes the pid of this process; logs a warning where the file can't be written."""
        if not self.path:
            return
        try:
            write_atomically(self.path, b"%d\n" % os.getpid())
        except OSError as error:
            self.log.warning("no_pidfile", **error_fields(error))
