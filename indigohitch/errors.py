"""Base classes of errors that state the problem, its location, and what an operator can do about it."""

from __future__ import annotations

import errno

from .net.clock import SECOND


class DirectorError(Exception):
    """Base of all errors that are shown to operators; the log and the command line show all three attributes.

    Attributes:
        problem: What happened.
        location: File and line, peer or entry; may be empty.
        remedy: What an operator can do; empty only where nothing can be done.
    """

    remedy = ""  # default of the class; an instance may have a more specific one

    def __init__(self, problem: str, location: str = "", remedy: str = "") -> None:
        self.problem = problem
        self.location = location
        self.remedy = remedy or self.remedy
        super().__init__(problem)

    def text(self) -> str:
        """Returns the location and the problem, without the remedy."""
        return f"{self.location}: {self.problem}" if self.location else self.problem

    def __str__(self) -> str:
        return f"{self.text()} ({self.remedy})" if self.remedy else self.text()

    def log_fields(self) -> dict[str, str]:
        """Returns the fields of a log line; empty ones are left out."""
        fields = {"why": self.problem, "where": self.location, "remedy": self.remedy}
        return {key: value for key, value in fields.items() if value}


class InvalidDataError(DirectorError, ValueError):
    """Received or stored data is malformed."""


class InvalidRequestError(DirectorError, ValueError):
    """The request can't be carried out; it changes nothing."""


class UnavailableError(DirectorError):
    """The request can't be carried out now; `retry_after_ticks` is when to retry it."""

    def __init__(
        self, problem: str, location: str = "", remedy: str = "", retry_after_ticks: int = SECOND
    ) -> None:
        self.retry_after_ticks = retry_after_ticks
        super().__init__(problem, location, remedy)


# What an operator can do about a failed system call.
REMEDIES = {
    errno.EADDRINUSE: "free the address, or name another one",
    errno.EADDRNOTAVAIL: "name an address of this machine",
    errno.ENOENT: "create it, or name an existing one",
    errno.EACCES: "give this user access to it",
    errno.ENOSPC: "free space on the disk",
    errno.EDQUOT: "free space on the disk",
    errno.EROFS: "name a writable directory",
    errno.EMFILE: "raise the limit on file descriptors",
    errno.ECONNREFUSED: "start the program that listens there",
}


def error_fields(error: BaseException, remedy: str = "") -> dict[str, str]:
    """Returns any exception as fields of a log line; `remedy` is used where the exception has none."""
    if isinstance(error, DirectorError):
        return error.log_fields()
    remedy = REMEDIES.get(getattr(error, "errno", None), remedy)
    return {"why": f"{type(error).__name__}: {error}"} | ({"remedy": remedy} if remedy else {})
