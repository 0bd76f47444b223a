"""One relay's session: what it holds, what it may hold, and what goes to it next.  No I/O.

On one connection messages are applied in order or not at all (a relay answers a gap with a NACK), so after a
break what may be held is the last acknowledged content followed by some number of the messages sent since: a
set, of which the relay's digest picks one.  A relay whose digest is none of these, and of no version kept,
holds something unknown: it is set whole, in ranges, but only where its parts' digests differ."""

from __future__ import annotations

import enum
from collections.abc import Callable

from ..net.clock import SECOND
from . import delta
from .client_state import ClientState, claimed_content
from .send_queue import Chunk, Plan, SendQueue
from .tables import PARTS, Root
from .terms import Ack, Channel, Claim, Guard, Message, Nack, Version
from .window import Window

# An answer is a round trip and a stall away; some five times what a relay on another continent takes.
ACK_TIMEOUT = SECOND
# What a relay refused, or answered with a wrong digest, is not tried again at once: the window would be spent
# on it.
BACKOFF = 10 * SECOND


class Phase(enum.Enum):
    DISCONNECTED = "disconnected"
    UPDATING = "updating"  # what it holds is known, or one of a few
    REPLACING = "replacing"  # what it holds is unknown; it is set whole
    BACKING_OFF = "backing off"  # it refused, or its digests are not true: until `retry_at`


class Session(ClientState):
    """`find`: the content of a kept version by digest; `plan`: delta.ordered, or one that remembers."""

    def __init__(
        self, relay: str, channel: Channel, find: Callable[[bytes], Root | None], plan: Plan = delta.ordered
    ) -> None:
        super().__init__()
        self.relay, self.channel, self.find = relay, channel, find
        self.phase = Phase.DISCONNECTED
        self.connection = 0
        self.guard = Guard()  # may be newer than `target`
        self.parts: tuple[bytes, ...] = ()  # of an unknown content
        self.goal: Root | None = None  # what setting whole leads to
        self.queue = SendQueue(channel, plan)
        self.sequence = self.after = 0
        self.window = Window(channel)
        self.last_answer_at = self.retry_at = 0
        self.mismatches = 0  # digests in a row that were not those of what it had taken

    # ---- events ------------------------------------------------------------------------------------

    def set_target(self, version: Version, guard: Guard) -> None:
        """What it must come to; what is under way is not waited for, but counted in."""
        self.target = version
        self.set_guard(guard)
        if self.phase is Phase.BACKING_OFF and not self.mismatches:
            self.phase = self.active_phase()  # it refused another version

    def set_guard(self, guard: Guard) -> None:
        """News of backends: what is not sent yet is planned anew, but a relay that is set whole comes first
        to what was begun."""
        self.guard = guard
        if self.phase is Phase.REPLACING:
            self.queue.clear_updates()
        else:
            self.queue.clear()

    def on_connect(self, now: int, connection: int, claim: Claim | None) -> None:
        """`claim` None: this relay tells no digest."""
        if connection <= self.connection:
            return  # late news of one that was replaced
        contents = self.possible_contents()
        self.connection, self.last_answer_at = connection, now
        self.sequence = self.after = 0
        self.window.count_received(now, claim.heard if claim is not None else 0)
        self.in_flight.clear()
        self.reconcile(now, contents, claim)

    def on_disconnect(self, connection: int) -> None:
        if connection != self.connection:
            return
        self.phase, self.candidates = Phase.DISCONNECTED, self.possible_contents()
        self.confirmed = self.candidates[0] if len(self.candidates) == 1 else None
        self.in_flight.clear()
        self.queue.clear()

    def on_ack(self, now: int, ack: Ack) -> None:
        if not self.answers_flight(ack):
            return  # late, or said twice
        self.last_answer_at = now
        self.take_from_flight(ack.sequence)
        if self.candidates and ack.digest:
            self.candidates = [root for root in self.candidates if root.digest == ack.digest]
            if not self.candidates:
                self.on_mismatch(now)
                return
        self.confirm_if_single()
        self.end_replacing()
        if self.confirmed is not None and self.target is not None and self.confirmed == self.target.root:
            self.confirmed = self.target.root  # one for all relays
        if self.confirmed is not None and ack.digest and ack.digest != self.confirmed.digest:
            self.on_mismatch(now)
        elif self.in_sync:
            self.mismatches = 0

    def on_nack(self, now: int, nack: Nack) -> None:
        if (
            nack.connection != self.connection
            or self.phase is Phase.DISCONNECTED
            or all(message.sequence != nack.refused for message in self.in_flight)
        ):
            return  # said of a message that was given up already
        self.last_answer_at = now
        contents = self.possible_contents()
        self.in_flight.clear()
        self.after = nack.sequence
        self.reconcile(now, contents, nack.claim)
        if not nack.gap:
            self.phase, self.retry_at = Phase.BACKING_OFF, now + BACKOFF

    def on_mismatch(self, now: int) -> None:
        """Its digest is not that of what it took.  The second time it waits before it is set whole again."""
        self.mismatches += 1
        self.confirmed, self.candidates, self.goal, self.parts = None, [], None, ()
        self.in_flight.clear()
        self.queue.clear()
        self.phase = Phase.REPLACING
        if self.mismatches > 1:
            self.phase, self.retry_at = Phase.BACKING_OFF, now + BACKOFF

    # ---- what it holds -----------------------------------------------------------------------------

    @property
    def in_sync(self) -> bool:
        return (
            self.target is not None
            and self.phase is not Phase.DISCONNECTED
            and not self.in_flight
            and self.confirmed == self.target.root
        )

    def answers_flight(self, ack: Ack) -> bool:
        return (
            ack.connection == self.connection
            and self.phase is not Phase.DISCONNECTED
            and bool(self.in_flight)
            and self.in_flight[0].sequence <= ack.sequence <= self.in_flight[-1].sequence
        )

    def active_phase(self) -> Phase:
        return Phase.UPDATING if self.confirmed is not None or self.candidates else Phase.REPLACING

    def reconcile(self, now: int, contents: list[Root], claim: Claim | None) -> None:
        """What it holds, of `contents` that it may hold and by what it claims."""
        self.confirmed, self.candidates, self.goal = None, [], None
        self.queue.clear()
        if claim is None:
            self.candidates = contents
        else:
            same = [root for root in contents if root.digest == claim.digest]
            self.confirmed = same[0] if same else claimed_content(claim, self.find)
        unknown = claim is not None and len(claim.parts) == PARTS and self.confirmed is None
        self.parts = claim.parts if unknown else ()
        self.confirm_if_single()
        backs_off = self.mismatches and now < self.retry_at
        self.phase = Phase.BACKING_OFF if backs_off else self.active_phase()

    def end_replacing(self) -> None:
        """Once all ranges have been taken, it holds the goal."""
        if (
            self.phase is not Phase.REPLACING
            or self.goal is None
            or self.queue.replacements
            or self.in_flight
        ):
            return
        self.confirmed, self.goal, self.phase = self.goal, None, Phase.UPDATING
        self.queue.planned = None

    # ---- what goes out -----------------------------------------------------------------------------

    def due(self, now: int) -> list[Message]:
        """Messages that may go now, in order; the caller sends them, or says that the connection is lost."""
        if self.phase is Phase.BACKING_OFF and now >= self.retry_at:
            self.phase = self.active_phase()
        if self.target is None or self.phase in (Phase.DISCONNECTED, Phase.BACKING_OFF):
            return []
        out: list[Message] = []
        silent = self.in_flight and now - self.last_answer_at >= ACK_TIMEOUT
        if silent and self.window.free(now, self.in_flight, True):
            self.last_answer_at = now
            out.append(self.message(now, Chunk()))  # it answers for all before, or with a gap
        while self.window.free(now, self.in_flight, bool(self.guard.draining)):
            self.plan()
            if not self.urgent and not self.window.free(now, self.in_flight):
                break
            chunk = self.queue.next_chunk()
            if not chunk:
                break
            out.append(self.message(now, chunk))
        return out

    def next_due(self, now: int) -> int | None:
        """When `due` may have something again that it has not now, if nothing is heard; None: never."""
        if self.phase is Phase.BACKING_OFF:
            return self.retry_at
        if self.phase is Phase.DISCONNECTED or self.target is None or self.in_sync:
            return None
        times = [self.last_answer_at + ACK_TIMEOUT] if self.in_flight else []
        if (opens := self.window.opens(now, self.urgent)) is not None:
            times.append(opens)
        return min(times) if times else now

    @property
    def urgent(self) -> bool:
        return self.queue.urgent(self.guard.draining)

    def plan(self) -> None:
        if self.phase is Phase.REPLACING:
            if self.goal is None:
                self.goal = delta.stripped(self.target.root, self.guard)
                self.queue.plan_replacement(self.goal, self.parts)
        elif self.queue.planned is None or self.queue.planned != self.target.root:
            self.queue.plan_delta(self.expected_contents(), self.target.root, self.guard)

    def message(self, now: int, chunk: Chunk) -> Message:
        self.sequence += 1
        message = Message(
            self.connection,
            self.sequence,
            self.after,
            self.target.version_id,
            chunk.updates,
            chunk.replacements,
        )
        self.after = self.sequence
        if not self.in_flight:
            self.last_answer_at = now
        self.in_flight.append(message)
        self.window.take(now, message)
        return message
