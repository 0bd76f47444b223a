"""The sidecar process."""

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
    """The process of a sidecar, which can be upgraded; `follows` says that it replaces a running process."""

    def __init__(self, source: str, text: Text, follows: bool = False) -> None:
        self.source, self.text, self.follows = source, text, follows
        super().__init__(text.single["name"], text.single, text.waits)

    def make_participant(self) -> HandoverParticipant:
        """Creates the request path and the handover that covers it and the member of the fleet."""
        self.host = Host(self.loop, self.log, self.text)
        side = SidecarHandover(self.host, self.control_listener, self.take_over_control, self.reload)
        if self.text.fleet is None:
            return side
        from ..fleet.node.companion import add_node_companion

        side = add_node_companion(self, side, self.text.fleet, False, self.follows)
        self.host.on_rpc_completed = self.companion.on_rpc_completed
        if self.text.seats:
            from .seating import Seating

            self.host.seating = Seating(self.text, self.log, self.loop.clock, self.seat_allocator)
        return side

    def seat_allocator(self):
        """Returns the allocator of seats, None while this member does not take part."""
        work = self.companion.work("seats")
        return work.allocator if work is not None else None

    def turn(self) -> None:
        """Does the request path's work at the end of a turn of the loop."""
        self.host.turn()

    def extra_status(self) -> dict:
        """Returns the request path's part of the status answer."""
        return self.host.status_fields()

    def discard_state(self) -> None:
        """Replaces the request path by an empty one with the configuration as it is now."""
        self.host.close()
        self.text = self.read_operator_file()
        self.participant = self.predecessor_driver.side = self.make_participant()

    def read_operator_file(self) -> Text:
        """Reads the configuration; raises OSError or ValueError."""
        return sidecar_file.load(self.source)

    def reload(self) -> None:
        """Applies the servers of the configuration; its other changes wait for an upgrade.

        An invalid configuration is logged and changes nothing.
        """
        try:
            text = self.read_operator_file()
            if text.pools.keys() != self.text.pools.keys():
                raise InvalidRequestError(
                    "the pools have changed", self.source, "run `indigohitch upgrade` to apply them"
                )
        except (OSError, ValueError) as error:
            self.log.warning("reload_failed", **error_fields(error))
            return
        self.log.count("reloads")
        if self.host.access is not None:
            self.host.access.reopen()
        if self.companion is not None:
            self.companion.reread(text.fleet)
        for name, pool in self.host.pools.items():
            self.log.event("reloaded", pool=name, **pool.update_servers(text.pools[name].servers))

    def start_shutdown(self) -> None:
        """Accepts the connections that are waiting and closes the listener."""
        self.host.accept_pending_connections()
        self.host.stop_listening()

    def is_done(self) -> bool:
        """Closes unused client connections; returns whether none is left."""
        return self.host.close_unused_clients()

    def close(self) -> None:
        """Closes the request path; logs the RPCs that exceeded the time limit of the shutdown."""
        for client in self.host.clients:
            if client.rpc is not None:
                self.log.warning("rpc_outlived_the_bound", rpc=client.rpc.route.rpc.name)
        self.host.close()


def main(source: str) -> int:
    """Runs a sidecar and returns its exit code; raises ConfigError, OSError."""
    channel = process_launch.inherited_channel()
    text = sidecar_file.load(source)
    os.set_blocking(1, False)  # a log pipe that nobody reads must not block the service
    raise_file_limit(2 * text.limits["clients"] + 256)  # a client may use one server connection
    return Sidecar(source, text, channel is not None).run(channel)
