"""A fault-injecting proxy between members, on loopback, in a thread of the test process.

    proxy = FaultProxy(seed=1)
    address = proxy.gate("a", "b", ("127.0.0.1", 9001))  # the address that the file of a names for b
    proxy.cut("a", "b")                                  # nothing from a reaches b; b to a still works
    proxy.cut_off("a")                                   # between a and all others, both ways
    proxy.slow("a", "b", trickle=2000)
    proxy.heal()
    proxy.close()

A fault applies to a link, that is to all bytes from one member to another, whichever of them opened the
connection (fault_links.py).  A cut is silent: no connection is reset, and what was sent waits and is
delivered late, once the cut is healed.  The same calls with the same seed change and delay the same pieces,
as far as the same pieces arrive.
"""

from __future__ import annotations

import random
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from ..net.clock import SECOND, Clock
from ..net.connection import READ
from ..net.loop import EventLoop
from .fault_links import NO_FAULT, Fault, FaultLink, Gate


class FaultProxy:
    """The gates, links and faults between members, served by a thread of its own.

    The methods that set faults run their change in that thread and return after it; `told` records each one
    with its time.
    """

    CALL_TIMEOUT_SECONDS = 10.0  # a call that the thread has not run by then is a defect of the proxy

    def __init__(self, seed: int = 1) -> None:
        self.uniform = random.Random(seed).random
        self.errors: list[BaseException] = []
        self.loop = EventLoop(Clock(), self.errors.append)
        self.loop.pool.available = 1 << 30  # no memory limit: the proxy runs in tests only
        self.gates: dict[tuple[str, str], Gate] = {}
        self.links: dict[tuple[str, str], FaultLink] = {}
        self.told: list[tuple[float, str]] = []  # time.monotonic(), the fault that was set
        self._calls: deque[Callable[[], None]] = deque()
        self._woken, self._wake = socket.socketpair()
        self._woken.setblocking(False)
        self.loop.watch(self._woken, self, READ)
        self._ending = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    # ---- the thread ----------------------------------------------------------------------------------

    def _run(self) -> None:
        while not self._ending:
            self.loop.turn()
        for gate in self.gates.values():
            gate.close()
        self.loop.close()

    def ready(self, readable: bool, writable: bool) -> None:
        """Runs the calls that other threads queued."""
        self._woken.recv(4096)
        while self._calls:
            self._calls.popleft()()

    def _call_in_thread(self, action: Callable[[], object], description: str = "") -> object:
        """Runs `action` in the proxy's thread; returns what it returned or raises what it raised.

        Records `description` in `told` after the action.  Raises TimeoutError if it did not run in time.
        """
        done, outcome = threading.Event(), []

        def call() -> None:
            try:
                outcome.append((action(), None))
            except Exception as error:
                outcome.append((None, error))
            done.set()

        self._calls.append(call)
        self._wake.send(b"x")
        if not done.wait(self.CALL_TIMEOUT_SECONDS):
            raise TimeoutError("the fault proxy's thread did not run the call in time")
        if description:
            self.told.append((time.monotonic(), description))
        result, error = outcome[0]
        if error is not None:
            raise error
        return result

    # ---- gates ---------------------------------------------------------------------------------------

    def gate(self, sender: str, receiver: str, to: tuple[str, int]) -> tuple[str, int]:
        """Returns the address at which `sender` reaches `receiver`, which listens at `to` (now or later)."""

        def make() -> tuple[str, int]:
            known = self.gates.get((sender, receiver))
            if known is None:
                known = self.gates[sender, receiver] = Gate(
                    self.loop, self._link(sender, receiver), self._link(receiver, sender), to
                )
            return known.address

        return self._call_in_thread(make)

    def _link(self, sender: str, receiver: str) -> FaultLink:
        if (sender, receiver) not in self.links:
            self.links[sender, receiver] = FaultLink(sender, receiver, self.uniform)
        return self.links[sender, receiver]

    def _between(self, some: Iterable[str], others: Iterable[str]) -> list[tuple[str, str]]:
        some, others = set(some), set(others)
        return [pair for pair in sorted(self.links) if pair[0] in some and pair[1] in others]

    def names(self) -> set[str]:
        """Returns the members that any link begins or ends at."""
        return {name for pair in self.links for name in pair}

    # ---- faults --------------------------------------------------------------------------------------

    def stand(self, wanted: Mapping[tuple[str, str], Fault], description: str = "") -> None:
        """Sets the fault of each link (sender, receiver) in `wanted`; all other links have none."""

        def change() -> None:
            changed = [link for pair, link in self.links.items() if link.fault != wanted.get(pair, NO_FAULT)]
            for link in changed:
                link.fault = wanted.get((link.sender, link.receiver), NO_FAULT)
            for gate in self.gates.values():
                gate.on_fault_changed()
            for link in changed:
                link.on_fault_changed()

        self._call_in_thread(change, description)

    def _update_faults(self, pairs: Iterable[tuple[str, str]], description: str, **changes: float) -> None:
        current = {pair: link.fault for pair, link in self.links.items()}
        self.stand(current | {pair: replace(current[pair], **changes) for pair in pairs}, description)

    def cut(self, sender: str, receiver: str, both: bool = False) -> None:
        """Delivers nothing from `sender` to `receiver`, or both ways, until healed."""
        pairs = [(sender, receiver), *([(receiver, sender)] if both else [])]
        self._update_faults(pairs, f"cut {sender} {receiver}{' both' if both else ''}", cut=True)

    def part(self, some: Iterable[str], others: Iterable[str] | None = None) -> None:
        """Cuts the links both ways between `some` and `others`, by default all other members."""
        some = set(some)
        others = self.names() - some if others is None else set(others)
        self._update_faults(
            self._between(some, others) + self._between(others, some),
            f"part {','.join(sorted(some))}",
            cut=True,
        )

    def cut_off(self, name: str, hears: bool = False, heard: bool = False) -> None:
        """Cuts `name` off from all others; with `hears` it still receives, with `heard` it still sends."""
        rest = self.names() - {name}
        pairs = [] if hears else self._between(rest, {name})
        pairs += [] if heard else self._between({name}, rest)
        description = f"cut_off {name}{' hears' if hears else ''}{' heard' if heard else ''}"
        self._update_faults(pairs, description, cut=True)

    def slow(
        self, sender: str, receiver: str, delay_ms: float = 0, spread_ms: float = 0, trickle: int = 0
    ) -> None:
        """Delays each piece by `delay_ms` to `delay_ms + spread_ms`, in order.

        At most `trickle` bytes a second are delivered, without a limit if it is 0.
        """
        self._update_faults(
            [(sender, receiver)],
            f"slow {sender} {receiver} {delay_ms} {spread_ms} {trickle}",
            delay=int(delay_ms * SECOND // 1000),
            spread=int(spread_ms * SECOND // 1000),
            trickle=trickle,
        )

    def spoil(self, sender: str, receiver: str, share: float) -> None:
        """Changes one byte in `share` (0 to 1) of the pieces."""
        self._update_faults([(sender, receiver)], f"spoil {sender} {receiver} {share}", spoil=share)

    def reset(self, sender: str, receiver: str) -> None:
        """Resets the connections that `sender` opened to `receiver`; it may connect again at once."""
        self._call_in_thread(self.gates[sender, receiver].reset, f"reset {sender} {receiver}")

    def refuse(self, sender: str, receiver: str, on: bool = True) -> None:
        """Refuses new connections of `sender` to `receiver`; open ones stay open."""
        self._call_in_thread(
            lambda: self.gates[sender, receiver].refuse(on),
            f"refuse {sender} {receiver} {'on' if on else 'off'}",
        )

    def heal(self, lose: bool = False) -> None:
        """Removes all faults; bytes that a cut held are delivered late, or lost by a reset with `lose`."""

        def open_gates() -> None:
            for gate in self.gates.values():
                if lose and (gate.forward.fault.cut or gate.reverse.fault.cut):
                    gate.reset()
                gate.refuse(False)

        self._call_in_thread(open_gates)
        self.stand({}, "heal lose" if lose else "heal")

    def figures(self) -> dict[str, int]:
        """Returns the bytes delivered and the pieces changed, over all links."""
        return {
            "bytes": sum(link.bytes for link in self.links.values()),
            "spoilt": sum(link.spoilt for link in self.links.values()),
        }

    def close(self) -> None:
        """Closes all gates and ends the thread; raises the first error that the thread met, if any."""

        def end() -> None:
            self._ending = True

        if not self._ending:
            self._call_in_thread(end)
            self._thread.join(self.CALL_TIMEOUT_SECONDS)
            self._woken.close()
            self._wake.close()
        if self.errors:
            raise self.errors[0]
