"""A relay of faults between members, on loopback, in a thread of the process that tests.

    breaker = Breaker(seed=1)
    at = breaker.gate("a", "b", ("127.0.0.1", 9001))    # what the file of a names for b
    breaker.cut("a", "b")                               # silence from a to b; b to a goes on
    breaker.cut_off("a")                                # between a and all others, both ways
    breaker.slow("a", "b", trickle=2000)
    breaker.heal()
    breaker.close()

A fault stands on a lane, that is on all bytes from one member to the other, whichever of them dialled
(lanes.py).  A cut is silent: nobody is reset, what was sent waits and comes late when it is healed.  The same
calls with the same seed spoil and delay the same pieces, as far as the same pieces come."""

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
    WAIT = 10.0  # s until a call that the thread does not answer is a defect of ours

    def __init__(self, seed: int = 1) -> None:
        self.uniform = random.Random(seed).random
        self.broken: list[BaseException] = []
        self.loop = EventLoop(Clock(), self.broken.append)
        self.loop.pool.available = 1 << 30  # a stand-in's memory is nobody's concern
        self.gates: dict[tuple[str, str], Gate] = {}
        self.lanes: dict[tuple[str, str], FaultLink] = {}
        self.told: list[tuple[float, str]] = []  # when (time.monotonic), what was done
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
        self._woken.recv(4096)
        while self._calls:
            self._calls.popleft()()

    def _do(self, action: Callable[[], object], said: str = "") -> object:
        """In the thread; returns what it returned or raises what it raised."""
        done, found = threading.Event(), []

        def call() -> None:
            try:
                found.append((action(), None))
            except Exception as bad:
                found.append((None, bad))
            done.set()

        self._calls.append(call)
        self._wake.send(b"x")
        if not done.wait(self.WAIT):
            raise TimeoutError("the breaker's thread does not answer")
        if said:
            self.told.append((time.monotonic(), said))
        result, bad = found[0]
        if bad is not None:
            raise bad
        return result

    # ---- gates ---------------------------------------------------------------------------------------

    def gate(self, sender: str, receiver: str, to: tuple[str, int]) -> tuple[str, int]:
        """The address at which `sender` reaches `receiver`, which listens at `to` (now or later)."""

        def make() -> tuple[str, int]:
            known = self.gates.get((sender, receiver))
            if known is None:
                known = self.gates[sender, receiver] = Gate(
                    self.loop, self._lane(sender, receiver), self._lane(receiver, sender), to
                )
            return known.at

        return self._do(make)

    def _lane(self, sender: str, receiver: str) -> FaultLink:
        if (sender, receiver) not in self.lanes:
            self.lanes[sender, receiver] = FaultLink(sender, receiver, self.uniform)
        return self.lanes[sender, receiver]

    def _between(self, some: Iterable[str], others: Iterable[str]) -> list[tuple[str, str]]:
        some, others = set(some), set(others)
        return [pair for pair in sorted(self.lanes) if pair[0] in some and pair[1] in others]

    def names(self) -> set[str]:
        return {name for pair in self.lanes for name in pair}

    # ---- faults --------------------------------------------------------------------------------------

    def stand(self, wanted: Mapping[tuple[str, str], Fault], said: str = "") -> None:
        """These faults stand on lanes (sender, receiver), and no others."""

        def change() -> None:
            differ = [lane for pair, lane in self.lanes.items() if lane.fault != wanted.get(pair, NO_FAULT)]
            for lane in differ:
                lane.fault = wanted.get((lane.sender, lane.receiver), NO_FAULT)
            for gate in self.gates.values():
                gate.changed()
            for lane in differ:
                lane.changed()

        self._do(change, said)

    def _set(self, pairs: Iterable[tuple[str, str]], said: str, **words) -> None:
        stands = {pair: lane.fault for pair, lane in self.lanes.items()}
        self.stand(stands | {pair: replace(stands[pair], **words) for pair in pairs}, said)

    def cut(self, sender: str, receiver: str, both: bool = False) -> None:
        """Silence from `sender` to `receiver`, or both ways."""
        pairs = [(sender, receiver), *([(receiver, sender)] if both else [])]
        self._set(pairs, f"cut {sender} {receiver}{' both' if both else ''}", cut=True)

    def part(self, some: Iterable[str], others: Iterable[str] | None = None) -> None:
        """Silence both ways between `some` and `others` (all the rest)."""
        some = set(some)
        others = self.names() - some if others is None else set(others)
        self._set(
            self._between(some, others) + self._between(others, some),
            f"part {','.join(sorted(some))}",
            cut=True,
        )

    def cut_off(self, name: str, hears: bool = False, heard: bool = False) -> None:
        """`name` from all others; `hears`: but what they say reaches it; `heard`: but they hear it."""
        rest = self.names() - {name}
        pairs = [] if hears else self._between(rest, {name})
        pairs += [] if heard else self._between({name}, rest)
        said = f"cut_off {name}{' hears' if hears else ''}{' heard' if heard else ''}"
        self._set(pairs, said, cut=True)

    def slow(
        self, sender: str, receiver: str, delay_ms: float = 0, spread_ms: float = 0, trickle: int = 0
    ) -> None:
        """Delay each piece by `delay_ms` to `delay_ms + spread_ms`, in order; at most `trickle` bytes a
        second."""
        self._set(
            [(sender, receiver)],
            f"slow {sender} {receiver} {delay_ms} {spread_ms} {trickle}",
            delay=int(delay_ms * SECOND // 1000),
            spread=int(spread_ms * SECOND // 1000),
            trickle=trickle,
        )

    def spoil(self, sender: str, receiver: str, share: float) -> None:
        """Change one byte in that share of the pieces."""
        self._set([(sender, receiver)], f"spoil {sender} {receiver} {share}", spoil=share)

    def reset(self, sender: str, receiver: str) -> None:
        """Reset the connections that `sender` dialled to `receiver`; it may dial again at once."""
        self._do(self.gates[sender, receiver].reset, f"reset {sender} {receiver}")

    def refuse(self, sender: str, receiver: str, on: bool = True) -> None:
        """New connections of `sender` to `receiver` are refused; those that stand, stand."""
        self._do(
            lambda: self.gates[sender, receiver].refuse(on),
            f"refuse {sender} {receiver} {'on' if on else 'off'}",
        )

    def heal(self, lose: bool = False) -> None:
        """No fault stands any more; `lose`: what waits is lost with its connections, else it comes late."""

        def let() -> None:
            for gate in self.gates.values():
                if lose and (gate.forth.fault.cut or gate.back.fault.cut):
                    gate.reset()
                gate.refuse(False)

        self._do(let)
        self.stand({}, "heal lose" if lose else "heal")

    def figures(self) -> dict[str, int]:
        """Bytes that passed and pieces spoilt, of all lanes."""
        return {
            "bytes": sum(lane.bytes for lane in self.lanes.values()),
            "spoilt": sum(lane.spoilt for lane in self.lanes.values()),
        }

    def close(self) -> None:
        """Raises what broke in the thread, if anything did."""

        def end() -> None:
            self._ending = True

        if not self._ending:
            self._do(end)
            self._thread.join(self.WAIT)
            self._woken.close()
            self._wake.close()
        if self.broken:
            raise self.broken[0]
