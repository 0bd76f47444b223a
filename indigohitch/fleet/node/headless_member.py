"""A member of the fleet without a front, as a process: it votes and keeps the record."""

from __future__ import annotations

import os

from ...config.texts import Text
from ...upgrade import process_launch
from ...upgrade.handover_participant import HandoverParticipant
from .companion import node_companion
from .headless import HeadlessProcess
from .headless_handover import HeadlessHandover


class HeadlessMember(HeadlessProcess):
    def __init__(self, text: Text, follows: bool) -> None:
        self.follows = follows
        super().__init__(text)

    def make_participant(self) -> HandoverParticipant:
        side = HeadlessHandover(self.clock, self.control_listener, self.take_over_control, self.reload)
        return node_companion(self, side, self.text.fleet, True, self.follows)


def main(text: Text) -> int:
    """Raises OSError."""
    channel = process_launch.inherited_channel()
    os.set_blocking(1, False)
    return HeadlessMember(text, channel is not None).run(channel)
