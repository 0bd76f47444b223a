"""Errors of system calls that pass by themselves, as descriptors or memory run short for a moment."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

Made = TypeVar("Made")

PASSING = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN})
# Of a connect, beside these: no way there just now, or no local port.
UNREACHED = PASSING | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN}
PATIENCE = 4.0  # s: a restart has ten until nine in ten are ready
AGAIN = 0.02  # s between tries


def is_transient(error: BaseException) -> bool:
    """Whether the same call may well succeed in a moment."""
    return isinstance(error, OSError) and error.errno in PASSING


def is_transient_connect_error(error: OSError) -> bool:
    """Whether a connect that failed before anything went out may well succeed in a moment."""
    return error.errno in UNREACHED


def retry_transient(
    make: Callable[[], Made],
    told: Callable[[OSError], None] = lambda error: None,
    patience: float = PATIENCE,
) -> Made:
    """What `make` returns, tried again while it fails by what passes.  It blocks: only for a start, before
    anything is served.  Raises what `make` raised last."""
    until = time.monotonic() + patience
    while True:
        try:
            return make()
        except OSError as error:
            if not is_transient(error) or time.monotonic() >= until:
                raise
            told(error)
        time.sleep(AGAIN)
