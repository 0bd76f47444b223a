"""One relay: what it holds, what it may hold, and what goes to it next.  No I/O.

On one connection messages are applied in order or not at all (a relay answers a gap with a NACK), so after a
break what may be held is the last acknowledged content followed by some number of the messages sent since: a
set, of which the relay's digest picks one.  A relay whose digest is none of these, and of no version kept,
holds something unknown: it is set whole, in ranges, but only where its parts' digests differ."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable, Sequence
from itertools import islice

from ..net.clock import SECOND
from . import delta
from .holding import Holding, claimed, unlike
from .ranges import shorter, size, whole
from .tables import PARTS, Root
from .terms import Ack, Channel, Claim, Guard, Message, Nack, Put, Version, Whole, applied
from .window import Window

# An answer is a round trip and a stall away; some five times what a relay on another continent takes.
SILENCE = SECOND
# What a relay refused, or lied about, is not tried again at once: the window would be spent on it.
PAUSE = 10 * SECOND

Plan = Callable[[Sequence[Root], Root, Guard], list[Put]]


class Phase(enum.Enum):
    AWAY = "away"  # no connection
    MOVING = "moving"  # what it holds is known, or one of a few
    MENDING = "mending"  # what it holds is unknown; it is set whole
    ASIDE = "aside"  # it refused, or its digests are not true: until `aside_until`


class Session(Holding):
    """`find`: the content of a kept version by digest; `plan`: delta.ordered, or one that remembers."""

    def __init__(
        self, relay: str, channel: Channel, find: Callable[[bytes], Root | None], plan: Plan = delta.ordered
    ) -> None:
        self.relay, self.channel, self.find, self.plan = relay, channel, find, plan
        super().__init__()
        self.phase = Phase.AWAY
        self.connection = 0
        self.guard = Guard()  # may be newer than `wanted`
        self.parts: tuple[bytes, ...] = ()  # of an unknown content
        self.goal: Root | None = None  # what setting whole leads to
        self.puts: deque[Put] = deque()  # the way to `planned`
        self.wholes: deque[Whole] = deque()
        self.planned: Root | None = None
        self.sequence = self.after = 0
        self.window = Window(channel)
        self.heard_at = self.aside_until = 0
        self.lies = 0

    # ---- what happens ------------------------------------------------------------------------------

    def want(self, version: Version, guard: Guard) -> None:
        """What it must come to; what is under way is not waited for, but counted in."""
        self.wanted, self.guard = version, guard
        self.plan_anew()
        if self.phase is Phase.ASIDE and not self.lies:
            self.phase = self.going()  # it refused another version

    def guarded(self, guard: Guard) -> None:
        """News of backends: what is not sent yet is looked at anew."""
        self.guard = guard
        self.plan_anew()

    def plan_anew(self) -> None:
        """A relay that is set whole comes first to what was begun."""
        self.planned = None
        self.puts.clear()
        if self.phase is not Phase.MENDING:
            self.wholes.clear()

    def joined(self, now: int, connection: int, claim: Claim | None) -> None:
        """`claim` None: this relay tells no digest."""
        if connection <= self.connection:
            return  # late news of one that was replaced
        may = self.may_hold()
        self.connection, self.heard_at = connection, now
        self.sequence = self.after = 0
        self.window.told(now, claim.heard if claim is not None else 0)
        self.flight.clear()
        self.settle(now, may, claim)

    def lost(self, connection: int) -> None:
        if connection == self.connection:
            self.phase, self.possible = Phase.AWAY, self.may_hold()
            self.known = self.possible[0] if len(self.possible) == 1 else None
            self.flight.clear()
            self.forget_plan()

    def acked(self, now: int, ack: Ack) -> None:
        if (
            ack.connection != self.connection
            or self.phase is Phase.AWAY
            or not self.flight
            or not self.flight[0].sequence <= ack.sequence <= self.flight[-1].sequence
        ):
            return  # late, or said twice
        self.heard_at = now
        while self.flight and self.flight[0].sequence <= ack.sequence:
            message = self.flight.popleft()
            if self.known is not None:
                self.known = applied(self.known, message)
            elif self.possible:
                self.possible = unlike(applied(root, message) for root in self.possible)
        if self.possible and ack.digest:
            self.possible = [root for root in self.possible if root.digest == ack.digest]
            if not self.possible:
                self.lied(now)
                return
        if len(self.possible) == 1:
            self.known, self.possible = self.possible[0], []
        if self.phase is Phase.MENDING and self.goal is not None and not self.wholes and not self.flight:
            self.known, self.goal, self.phase = self.goal, None, Phase.MOVING
            self.planned = None
        if self.known is not None and self.wanted is not None and self.known == self.wanted.root:
            self.known = self.wanted.root  # one for all relays
        if self.known is not None and ack.digest and ack.digest != self.known.digest:
            self.lied(now)
        elif self.known is not None and self.settled:
            self.lies = 0

    def nacked(self, now: int, nack: Nack) -> None:
        if (
            nack.connection != self.connection
            or self.phase is Phase.AWAY
            or all(message.sequence != nack.refused for message in self.flight)
        ):
            return  # said of a message that was given up already
        self.heard_at = now
        may = self.may_hold()
        self.flight.clear()
        self.after = nack.sequence
        self.settle(now, may, nack.claim)
        if not nack.gap:
            self.phase, self.aside_until = Phase.ASIDE, now + PAUSE

    def going(self) -> Phase:
        return Phase.MOVING if self.known is not None or self.possible else Phase.MENDING

    # ---- what it holds -----------------------------------------------------------------------------

    @property
    def settled(self) -> bool:
        return (
            self.wanted is not None
            and self.phase is not Phase.AWAY
            and not self.flight
            and self.known == self.wanted.root
        )

    def settle(self, now: int, may: list[Root], claim: Claim | None) -> None:
        self.known, self.possible, self.goal = None, [], None
        self.forget_plan()
        if claim is None:
            self.possible = may
        else:
            same = [root for root in may if root.digest == claim.digest]
            self.known = same[0] if same else claimed(claim, self.find)
        told = claim is not None and len(claim.parts) == PARTS and self.known is None
        self.parts = claim.parts if told else ()
        if len(self.possible) == 1:
            self.known, self.possible = self.possible[0], []
        if self.lies and now < self.aside_until:
            self.phase = Phase.ASIDE
        else:
            self.phase = self.going()

    def lied(self, now: int) -> None:
        """Its digest is not that of what it took.  The second time it waits before it is set whole again."""
        self.lies += 1
        self.known, self.possible, self.goal, self.parts = None, [], None, ()
        self.flight.clear()
        self.forget_plan()
        self.phase = Phase.MENDING
        if self.lies > 1:
            self.phase, self.aside_until = Phase.ASIDE, now + PAUSE

    def forget_plan(self) -> None:
        self.puts.clear()
        self.wholes.clear()
        self.planned = None

    # ---- what goes out -----------------------------------------------------------------------------

    def due(self, now: int) -> list[Message]:
        """Messages that may go now, in order; the caller sends them, or says that the connection is lost."""
        if self.phase is Phase.ASIDE and now >= self.aside_until:
            self.phase = self.going()
        if self.wanted is None or self.phase in (Phase.AWAY, Phase.ASIDE):
            return []
        out: list[Message] = []
        if self.flight and now - self.heard_at >= SILENCE and self.window.free(now, self.flight, True):
            self.heard_at = now
            out.append(self.message(now))  # it answers for all before, or with a gap
        while self.window.free(now, self.flight, bool(self.guard.draining)):
            self.plan_on()
            if not self.urgent and not self.window.free(now, self.flight):
                break
            puts, wholes = self.chunk()
            if not puts and not wholes:
                break
            out.append(self.message(now, puts, wholes))
        return out

    def next_due(self, now: int) -> int | None:
        """When `due` may have something again that it has not now, if nothing is heard; None: never."""
        if self.phase is Phase.ASIDE:
            return self.aside_until
        if self.phase is Phase.AWAY or self.wanted is None or self.settled:
            return None
        times = [self.heard_at + SILENCE] if self.flight else []
        if (opens := self.window.opens(now, self.urgent)) is not None:
            times.append(opens)
        return min(times) if times else now

    @property
    def urgent(self) -> bool:
        """A draining backend's lines wait to go, or may: the window's reserve is for these."""
        return bool(self.guard.draining and self.wholes) or any(
            put.backend in self.guard.draining for put in islice(self.puts, self.channel.lines)
        )

    def plan_on(self) -> None:
        if self.phase is Phase.MENDING:
            if self.goal is None:
                self.goal = delta.stripped(self.wanted.root, self.guard)
                self.wholes.extend(whole(self.goal, self.parts, self.channel.lines))
            return
        if self.planned != self.wanted.root or self.planned is None:
            roots, to = self.ahead(), self.wanted.root
            puts, self.planned = self.plan(roots, to, self.guard), to
            if len(roots) == 1 and (ranges := shorter(puts, roots[0], to, self.guard, self.channel)):
                self.wholes.extend(ranges)
                puts = self.plan([delta.stripped(to, self.guard)], to, self.guard)
            self.puts = deque(puts)

    def chunk(self) -> tuple[list[Put], list[Whole]]:
        """As many steps as one message takes; a range set whole goes alone if it is larger."""
        puts, wholes, room = [], [], self.channel.lines
        while self.wholes and (size(self.wholes[0]) <= room or not wholes):
            room -= max(size(self.wholes[0]), 1)
            wholes.append(self.wholes.popleft())
        while self.puts and not wholes and len(puts) < room:
            puts.append(self.puts.popleft())
        return puts, wholes

    def message(self, now: int, puts: Sequence[Put] = (), wholes: Sequence[Whole] = ()) -> Message:
        self.sequence += 1
        message = Message(
            self.connection, self.sequence, self.after, self.wanted.mark, tuple(puts), tuple(wholes)
        )
        self.after = self.sequence
        if not self.flight:
            self.heard_at = now
        self.flight.append(message)
        self.window.takes(now, message)
        return message
