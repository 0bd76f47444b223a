"""The one family of errors: each says what happened, where, and what an operator can do."""

from __future__ import annotations

import errno


class DirectorError(Exception):
    """`what` happened, `where` (file and line, peer, entry; may be empty), `remedy` (what an operator can do;
    empty only where nothing can be).  The log and the command line show all three."""

    remedy = ""  # of the kind; one instance may know better

    def __init__(self, what: str, where: str = "", remedy: str = "") -> None:
        self.what, self.where = what, where
        self.remedy = remedy or self.remedy
        super().__init__(what)

    def text(self) -> str:
        """All but the remedy."""
        return f"{self.where}: {self.what}" if self.where else self.what

    def __str__(self) -> str:
        return f"{self.text()} ({self.remedy})" if self.remedy else self.text()

    def fields(self) -> dict[str, str]:
        """For a log line."""
        return {
            key: value
            for key, value in (("why", self.what), ("where", self.where), ("remedy", self.remedy))
            if value
        }


class InvalidDataError(DirectorError, ValueError):
    """What came, or what lies on the disk, is not what it should be."""


class InvalidRequestError(DirectorError, ValueError):
    """What is asked can't be: it changes nothing."""


class UnavailableError(DirectorError):
    """Not at this time; `again` tells in how many tenths of a ms to return."""

    def __init__(self, what: str, where: str = "", remedy: str = "", again: int = 10_000) -> None:
        self.again = again
        super().__init__(what, where, remedy)


# What an operator can do where the system refuses.
REMEDIES = {
    errno.EADDRINUSE: "free the address, or name another one",
    errno.EADDRNOTAVAIL: "name an address of this machine",
    errno.ENOENT: "make it, or name what is there",
    errno.EACCES: "let this user have it",
    errno.ENOSPC: "make room on the disk",
    errno.EDQUOT: "make room on the disk",
    errno.EROFS: "name a folder that can be written to",
    errno.EMFILE: "raise the limit on descriptors",
    errno.ECONNREFUSED: "start the program that listens there",
}


def error_fields(bad: BaseException, remedy: str = "") -> dict[str, str]:
    """Any exception for a log line; `remedy`: where it has none of its own."""
    if isinstance(bad, DirectorError):
        return bad.fields()
    remedy = REMEDIES.get(getattr(bad, "errno", None), remedy)
    return {"why": f"{type(bad).__name__}: {bad}"} | ({"remedy": remedy} if remedy else {})
