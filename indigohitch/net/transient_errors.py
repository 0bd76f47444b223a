"""Transient errors of system calls, such as a short lack of descriptors or memory, and retries after them."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")

TRANSIENT_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN}
)
# A connect can also fail for a moment because there is no route or no local port.
TRANSIENT_CONNECT_ERRORS = TRANSIENT_ERRORS | {
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
}
MAX_RETRY_SECONDS = 4.0  # nine in ten restarts must be ready within 10 s
RETRY_DELAY_SECONDS = 0.02


def is_transient(error: BaseException) -> bool:
    """Returns whether the same call is likely to succeed soon."""
    return isinstance(error, OSError) and error.errno in TRANSIENT_ERRORS


def is_transient_connect_error(error: OSError) -> bool:
    """Returns whether a connect that failed before anything was sent is likely to succeed soon."""
    return error.errno in TRANSIENT_CONNECT_ERRORS


def retry_transient(
    operation: Callable[[], Result],
    on_failure: Callable[[OSError], None] = lambda error: None,
    max_seconds: float = MAX_RETRY_SECONDS,
) -> Result:
    """Returns the result of `operation`, retried for `max_seconds` while it fails with a transient error.

    This blocks, so it is only for the start of a process, before anything is served.

    Raises:
        OSError: The last failure, if it is not transient or the time is over.
    """
    deadline = time.monotonic() + max_seconds
    while True:
        try:
            return operation()
        except OSError as error:
            if not is_transient(error) or time.monotonic() >= deadline:
                raise
            on_failure(error)
        time.sleep(RETRY_DELAY_SECONDS)
