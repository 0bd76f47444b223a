"""A member of the fleet without a front, as a process: it votes and keeps the record."""

from __future__ import annotations

import os

from ...directives import operator_file
from ...directives.texts import Text
from ...replaceable import Replaceable
from ...upgrade import launch
from ...upgrade.side import Side
from .bare import Bare
from .inside import beside


class Alone(Replaceable):
    def __init__(self, text: Text, follows: bool) -> None:
        self.text, self.follows = text, follows
        super().__init__(text.single["name"], text.single, text.waits)

    def make_side(self) -> Side:
        side = Bare(self.clock, self.controls, self.control_taken, self.reload)
        return beside(self, side, self.text.fleet, True, self.follows)

    def program_now(self) -> list[str]:
        try:
            return operator_file.load(self.text.source).single["program"]
        except (OSError, ValueError):
            return self.lines["program"]

    def reload(self) -> None:
        """Members, their addresses and what the file contracts; a file with a mistake changes nothing."""
        try:
            self.beside.reread(operator_file.load(self.text.source).fleet)
        except (OSError, ValueError) as bad:
            self.log.trouble("reload_failed", why=str(bad))
            return
        self.log.count("reloads")


def main(text: Text) -> int:
    """Raises OSError."""
    channel = launch.inherited()
    os.set_blocking(1, False)
    return Alone(text, channel is not None).run(channel)
