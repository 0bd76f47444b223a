"""Errors of system calls that pass by themselves, as when descriptors or memory run short for a moment."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")

TRANSIENT_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN}
)
# Of a connect, beside these: no route at the moment, or no local port.
TRANSIENT_CONNECT_ERRORS = TRANSIENT_ERRORS | {
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
}
PATIENCE = 4.0  # s: a restart has ten until nine in ten are ready
RETRY_DELAY = 0.02  # s


def is_transient(error: BaseException) -> bool:
    """Returns whether the same call may well succeed in a moment."""
    return isinstance(error, OSError) and error.errno in TRANSIENT_ERRORS


def is_transient_connect_error(error: OSError) -> bool:
    """Returns whether a connect that failed before anything was sent may well succeed in a moment."""
    return error.errno in TRANSIENT_CONNECT_ERRORS


def retry_transient(
    operation: Callable[[], Result],
    on_failure: Callable[[OSError], None] = lambda error: None,
    patience: float = PATIENCE,
) -> Result:
    """Returns the result of `operation`, retried for `patience` seconds while it fails transiently.

    It blocks, so it is only for the start of a process, before anything is served.

    Raises:
        OSError: The last failure, if it is not transient or patience has run out.
    """
    deadline = time.monotonic() + patience
    while True:
        try:
            return operation()
        except OSError as error:
            if not is_transient(error) or time.monotonic() >= deadline:
                raise
            on_failure(error)
        time.sleep(RETRY_DELAY)
