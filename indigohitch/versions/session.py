"""One relay's session: what it holds, what it may hold, and what is sent to it next. No I/O.

On one connection messages are applied in order or not at all (a relay answers a gap with a NACK). So after a
lost connection, the relay holds the last acknowledged content followed by some number of the messages sent
since; its digest picks one of these. A relay whose digest is none of these, and of no kept version, holds
something unknown: it gets a replacement, in ranges, but only of the parts whose digests differ.
"""

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

# An answer takes a round trip and a stall; this is some five times that of a relay on another continent.
ACK_TIMEOUT = SECOND
# Delay before retrying what a relay refused or answered with a wrong digest, which would use up the window.
BACKOFF = 10 * SECOND


class Phase(enum.Enum):
    """The state of a session."""

    DISCONNECTED = "disconnected"
    UPDATING = "updating"  # what the relay holds is known, or one of a few contents
    REPLACING = "replacing"  # what the relay holds is unknown, and is replaced
    BACKING_OFF = "backing off"  # until `retry_at`, after a refusal or wrong digests


class Session(ClientState):
    """`find`: the content of a kept version by digest; `plan`: delta.ordered, or a cached variant of it."""

    def __init__(
        self, relay: str, channel: Channel, find: Callable[[bytes], Root | None], plan: Plan = delta.ordered
    ) -> None:
        super().__init__()
        self.relay, self.channel, self.find = relay, channel, find
        self.phase = Phase.DISCONNECTED
        self.connection = 0
        self.guard = Guard()  # may be newer than `target`
        self.parts: tuple[bytes, ...] = ()  # digests of the parts of an unknown content
        self.goal: Root | None = None  # what the relay holds after the replacement
        self.queue = SendQueue(channel, plan)
        self.sequence = self.after = 0
        self.window = Window(channel)
        self.last_answer_at = self.retry_at = 0
        self.mismatches = 0  # consecutive digests that did not match what was taken

    def set_target(self, version: Version, guard: Guard) -> None:
        """Sets the version to reach; messages in flight are taken into account, not waited for."""
        self.target = version
        self.set_guard(guard)
        if self.phase is Phase.BACKING_OFF and not self.mismatches:
            self.phase = self._active_phase()  # the refusal was of another version

    def set_guard(self, guard: Guard) -> None:
        """Takes new restrictions: steps not sent are planned again, but a replacement is completed first."""
        self.guard = guard
        if self.phase is Phase.REPLACING:
            self.queue.clear_updates()
        else:
            self.queue.clear()

    def on_connect(self, now: int, connection: int, claim: Claim | None) -> None:
        """Takes a new connection; `claim` is None for a relay that reports no digest."""
        if connection <= self.connection:
            return  # late news of an earlier connection
        contents = self.possible_contents()
        self.connection, self.last_answer_at = connection, now
        self.sequence = self.after = 0
        self.window.count_received(now, claim.heard if claim is not None else 0)
        self.in_flight.clear()
        self._reconcile(now, contents, claim)

    def on_disconnect(self, connection: int) -> None:
        """Keeps as candidates all that the relay may hold; news of an earlier connection is ignored."""
        if connection != self.connection:
            return
        self.phase, self.candidates = Phase.DISCONNECTED, self.possible_contents()
        self.confirmed = self.candidates[0] if len(self.candidates) == 1 else None
        self.in_flight.clear()
        self.queue.clear()

    def on_ack(self, now: int, ack: Ack) -> None:
        """Takes an acknowledgement, which may also reveal a digest that does not match."""
        if not self._answers_flight(ack):
            return  # late or duplicate
        self.last_answer_at = now
        self.take_from_flight(ack.sequence)
        if self.candidates and ack.digest:
            self.candidates = [root for root in self.candidates if root.digest == ack.digest]
            if not self.candidates:
                self._on_mismatch(now)
                return
        self.confirm_if_single()
        self._end_replacing()
        if self.confirmed is not None and self.target is not None and self.confirmed == self.target.root:
            self.confirmed = self.target.root  # shares one object among all relays
        if self.confirmed is not None and ack.digest and ack.digest != self.confirmed.digest:
            self._on_mismatch(now)
        elif self.in_sync:
            self.mismatches = 0

    def on_nack(self, now: int, nack: Nack) -> None:
        """Takes a refusal: after a gap it plans again at once, otherwise after a delay."""
        if (
            nack.connection != self.connection
            or self.phase is Phase.DISCONNECTED
            or all(message.sequence != nack.refused for message in self.in_flight)
        ):
            return  # concerns a message that is no longer in flight
        self.last_answer_at = now
        contents = self.possible_contents()
        self.in_flight.clear()
        self.after = nack.sequence
        self._reconcile(now, contents, nack.claim)
        if not nack.gap:
            self.phase, self.retry_at = Phase.BACKING_OFF, now + BACKOFF

    def _on_mismatch(self, now: int) -> None:
        """Takes a digest that doesn't match what was taken; delays the replacement from the second one on."""
        self.mismatches += 1
        self.confirmed, self.candidates, self.goal, self.parts = None, [], None, ()
        self.in_flight.clear()
        self.queue.clear()
        self.phase = Phase.REPLACING
        if self.mismatches > 1:
            self.phase, self.retry_at = Phase.BACKING_OFF, now + BACKOFF

    @property
    def in_sync(self) -> bool:
        """Whether the relay is connected and has confirmed its target, with nothing in flight."""
        return (
            self.target is not None
            and self.phase is not Phase.DISCONNECTED
            and not self.in_flight
            and self.confirmed == self.target.root
        )

    def _answers_flight(self, ack: Ack) -> bool:
        return (
            ack.connection == self.connection
            and self.phase is not Phase.DISCONNECTED
            and bool(self.in_flight)
            and self.in_flight[0].sequence <= ack.sequence <= self.in_flight[-1].sequence
        )

    def _active_phase(self) -> Phase:
        return Phase.UPDATING if self.confirmed is not None or self.candidates else Phase.REPLACING

    def _reconcile(self, now: int, contents: list[Root], claim: Claim | None) -> None:
        """Determines what the relay holds, out of `contents` that it may hold and by what it claims."""
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
        self.phase = Phase.BACKING_OFF if backs_off else self._active_phase()

    def _end_replacing(self) -> None:
        """Confirms the goal once all ranges of a replacement have been taken."""
        if (
            self.phase is not Phase.REPLACING
            or self.goal is None
            or self.queue.replacements
            or self.in_flight
        ):
            return
        self.confirmed, self.goal, self.phase = self.goal, None, Phase.UPDATING
        self.queue.planned = None

    def due(self, now: int) -> list[Message]:
        """Returns the messages to send now, in order; the caller sends them or reports a lost connection."""
        if self.phase is Phase.BACKING_OFF and now >= self.retry_at:
            self.phase = self._active_phase()
        if self.target is None or self.phase in (Phase.DISCONNECTED, Phase.BACKING_OFF):
            return []
        out: list[Message] = []
        silent = self.in_flight and now - self.last_answer_at >= ACK_TIMEOUT
        if silent and self.window.free(now, self.in_flight, True):
            self.last_answer_at = now
            # Its answer covers all messages before it, or reports a gap.
            out.append(self._new_message(now, Chunk()))
        while self.window.free(now, self.in_flight, bool(self.guard.draining)):
            self._plan()
            if not self.urgent and not self.window.free(now, self.in_flight):
                break
            chunk = self.queue.next_chunk()
            if not chunk:
                break
            out.append(self._new_message(now, chunk))
        return out

    def next_due(self, now: int) -> int | None:
        """Returns when `due` may next have something if nothing is received meanwhile, or None for never."""
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
        """Whether steps for a draining backend wait, which may use the window's reserve."""
        return self.queue.urgent(self.guard.draining)

    def _plan(self) -> None:
        if self.phase is Phase.REPLACING:
            if self.goal is None:
                self.goal = delta.without_cold_lines(self.target.root, self.guard)
                self.queue.plan_replacement(self.goal, self.parts)
        elif self.queue.planned is None or self.queue.planned != self.target.root:
            self.queue.plan_delta(self.expected_contents(), self.target.root, self.guard)

    def _new_message(self, now: int, chunk: Chunk) -> Message:
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
