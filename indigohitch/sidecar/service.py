"""The sidecar as a process."""

from __future__ import annotations

import os

from ..config import sidecar_file
from ..config.texts import Text
from ..errors import InvalidRequestError, error_fields
from ..net.file_limits import raise_file_limit
from ..upgradable_process import UpgradableProcess
from ..upgrade import process_launch
from ..upgrade.handover_participant import HandoverParticipant
from .handover import SidecarHandover
from .host import Host


class Sidecar(UpgradableProcess):
    def __init__(self, source: str, text: Text, follows: bool = False) -> None:
        self.source, self.text, self.follows = source, text, follows
        super().__init__(text.single["name"], text.single, text.waits)

    def make_participant(self) -> HandoverParticipant:
        self.host = Host(self.loop, self.log, self.text)
        side = SidecarHandover(self.host, self.control_listener, self.take_over_control, self.reload)
        if self.text.fleet is None:
            return side
        from ..fleet.node.companion import add_node_companion

        side = add_node_companion(self, side, self.text.fleet, False, self.follows)
        self.host.felt = self.companion.on_rpc_completed
        if self.text.seats:
            from .seating import Seating

            self.host.seating = Seating(self.text, self.log, self.loop.clock, self.seat_allocator)
        return side

    def seat_allocator(self):
        """That seats are asked of; None while this member takes no part."""
        work = self.companion.work("seats")
        return work.allocator if work is not None else None

    def turn(self) -> None:
        self.host.turn()

    def extra_status(self) -> dict:
        return self.host.figures()

    def discard_state(self) -> None:
        self.host.close()
        self.text = self.read_operator_file()
        self.participant = self.predecessor_driver.side = self.make_participant()

    def read_operator_file(self) -> Text:
        return sidecar_file.load(self.source)

    def reload(self) -> None:
        """Servers as the file names them now; all else in it waits for an upgrade.  A file with a mistake
        changes nothing."""
        try:
            text = self.read_operator_file()
            if text.pools.keys() != self.text.pools.keys():
                raise InvalidRequestError(
                    "other pools", self.source, "`indigohitch upgrade` puts them in force"
                )
        except (OSError, ValueError) as bad:
            self.log.warning("reload_failed", **error_fields(bad))
            return
        self.log.count("reloads")
        if self.host.access is not None:
            self.host.access.reopen()
        if self.companion is not None:
            self.companion.reread(text.fleet)
        for name, pool in self.host.pools.items():
            self.log.event("reloaded", pool=name, **pool.relist(text.pools[name].servers))

    def start_shutdown(self) -> None:
        self.host.accept_last()
        self.host.stop_listening()

    def is_done(self) -> bool:
        return self.host.finish()

    def close(self) -> None:
        for client in self.host.clients:
            if client.rpc is not None:
                self.log.warning("rpc_outlived_the_bound", rpc=client.rpc.route.rpc.name)
        self.host.close()


def main(source: str) -> int:
    """Raises Mistakes, OSError."""
    channel = process_launch.inherited_channel()
    text = sidecar_file.load(source)
    os.set_blocking(1, False)  # a log that nobody reads must not hold up the service
    raise_file_limit(2 * text.limits["clients"] + 256)  # each client may have a server's connection
    return Sidecar(source, text, channel is not None).run(channel)
