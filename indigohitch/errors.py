"""The one family of errors: each says what happened, where, and what an operator can do."""
from __future__ import annotations


class Trouble(Exception):
    """`what` happened, `where` (file and line, peer, entry; may be empty), `remedy` (what an operator can do;
    empty only where nothing can be).  The log and the command line show all three."""
    remedy = ""                 # of the kind; one instance may know better

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
        return {key: value for key, value in
                (("why", self.what), ("where", self.where), ("remedy", self.remedy)) if value}


class Unreadable(Trouble, ValueError):
    """What came, or what lies on the disk, is not what it should be."""


class Unfit(Trouble, ValueError):
    """What is asked can't be: it changes nothing."""


class NotNow(Trouble):
    """Not at this time; `again` tells in how many tenths of a ms to return."""

    def __init__(self, what: str, where: str = "", remedy: str = "", again: int = 10_000) -> None:
        self.again = again
        super().__init__(what, where, remedy)
