"""Executes the orders of the decision module through the platform's connections."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as face
from ..event_batch import EventBatch
from ..log import Log
from ..net.loop import EventLoop
from .backend_source import BackendSource
from .call_codec import UNSUPPORTED_ORDERS
from .probes import HealthProbes
from .relay import Relay


class OrderExecutor:
    """Passes each order to the part of the front that executes it."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        event_batch: EventBatch,
        discovery: BackendSource,
        probes: HealthProbes,
        relay: Relay,
        address_of: Callable[[str], str | None],
    ) -> None:
        self.loop = loop
        self.log = log
        self.event_batch = event_batch
        self.discovery = discovery
        self.probes = probes
        self.relay = relay
        self.address_of = address_of

    def execute(self, orders: list[face.Order]) -> None:
        """Execute the orders of one round; those for the relay become one call."""
        call = []
        for order in orders:
            match order:
                case (
                    face.SetRoute()
                    | face.ClearTable()
                    | face.SetAdmission()
                    | face.EjectBackend()
                    | face.UpdateMarker()
                ):
                    call.append(order)
                case face.SetTimer(due, tag):
                    self.loop.call_at(due, lambda tag=tag: self.event_batch.add_timer(face.TimerFired(tag)))
                case face.ProbeBackend(backend):
                    self.probes.send(backend, self.address_of(backend))
                case face.WatchBackends(on):
                    self.discovery.subscribe(on)
                case face.FetchBackends():
                    self.discovery.fetch()
                case face.LogMessage(text):
                    self.log.event("decision", text=text)
                case _:  # BindTable and SendToPeer have no command in this protocol
                    self.log.warning(
                        "order_without_a_call", order=UNSUPPORTED_ORDERS.get(type(order), "unknown")
                    )
        if call:
            self.log.count("orders", len(call))
            self.relay.enqueue(call)
        else:
            self.relay.reconsider()
