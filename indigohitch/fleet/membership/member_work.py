"""One member's part in the roster: it joins, holds its lease, compares its state, and leads.

No I/O.  The process that drives it (node/) proposes under `proposer()`, sends what `renew` returns to the
leader, the leader's own too, hands messages to `on_message`, roles to `on_role_changed`, confirmed reads to
`on_read_confirmed`, and carries out what they return at once.  It acts only under `lease(now)`, read right
before the action.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from ...encoding.rows import Row
from ..interfaces import ProposalRequest
from ..types import Lease, LogEntry, Outcome
from .entries import Join, Leave, Member, MemberState
from .failure_detector import FailureDetector, entry_word
from .incarnations import REPLACED_REASON
from .leases import Answer, LeaseGrantor, LeaseHolder, ReadFirst
from .messages import LeaseNotRenewed, LeaseRenewed, RenewLease
from .phases import Phase
from .roster import Roster


class Membership:
    """The work of the part `members` in this process."""

    name = "members"

    def __init__(
        self,
        member_name: str,
        votes: bool,
        roster: Roster,
        span: int,
        drift: float,
        make_token: Callable[[], int],
    ) -> None:
        """Creates a member that has not joined.

        `span` is the duration of a lease and `drift` that of clocks, as in leases.py; `make_token()` returns
        62 random bits, others at each call.
        """
        self.member_name = member_name
        self.votes = votes
        self.roster = roster
        self.make_token = make_token
        self.phase = Phase.JOINING
        self.incarnation = 0
        self.token = make_token()
        self.holder = LeaseHolder(span, drift)
        self.grantor = LeaseGrantor(span, drift, self._ineligibility)
        self.detector = FailureDetector(roster, span, self.grantor.has_expired)
        self.reports: dict[str, tuple[int, Mapping[str, bytes]]] = {}  # at the leader: time, by work
        self.pending_tags: set[str] = set()  # of proposals whose outcome isn't known
        self.evidence: tuple[int, bytes, bytes] | None = None  # index, own digest, that of the others
        self.refusal = ""  # why the last request got no lease

    def proposer(self) -> tuple[str, int]:
        """Returns the name and incarnation under which this process proposes."""
        if self.incarnation:
            return self.member_name, self.incarnation
        return f"{self.member_name}?{self.token}", self.token

    def lease(self, now: int) -> Lease | None:
        """Returns the right to act now: by the clock, by the entries applied here, and by the phase."""
        if self.phase is not Phase.VALID or self.roster.ineligibility(self.member_name, self.incarnation):
            return None
        return self.holder.lease(now)

    def _ineligibility(self, name: str, incarnation: int) -> str:
        """Returns why this leader gives that incarnation no lease, "" if it does."""
        return self.roster.ineligibility(name, incarnation) or (
            "about to be shut out" if (name, incarnation) in self.detector.eviction_reasons else ""
        )

    # ---- messages ----------------------------------------------------------------------------------

    def renew(self, now: int, wall: int, acts: int, reports: Mapping[str, bytes]) -> RenewLease | None:
        """Returns the request to send to the leader, None while none is due; `now` is read before.

        Members that are being compared send it too: their digest comes to the leader with it.
        """
        if self.phase not in (Phase.COMPARED, Phase.VALID):
            return None
        number = self.holder.next_renewal(now)
        if number is None:
            return None
        compared = self.roster.compared
        own = self.roster.digests.get(compared, b"")
        applied = self.roster.state_machine.index
        return RenewLease(number, self.incarnation, applied, compared if own else 0, own, wall, acts, reports)

    def on_message(self, now: int, sender: str, message: Row) -> list[ReadFirst | Answer]:
        """Takes a message and returns what is to be done; `now` is read after it came."""
        match message:
            case LeaseRenewed():
                self.holder.on_renewed(message)
                self.refusal = ""
            case LeaseNotRenewed() if message.incarnation == self.incarnation:
                self.refusal = message.why
            case RenewLease():
                if self.grantor.term:
                    self.detector.on_renewal(now, sender, message)
                    self.reports[sender] = (now, message.reports)
                return self.grantor.on_renewal(now, sender, message)
        return []

    def on_role_changed(self, now: int, role: str, term: int) -> None:
        """Starts or stops leading; `now` is read after the votes came."""
        if role != "leader":
            self.grantor.on_deposed()
            self.reports.clear()
        elif self.grantor.term != term:
            self.grantor.on_elected(now, term)
            self.detector.start(now)

    def on_read_confirmed(self, now: int, number: int, ok: bool) -> list[ReadFirst | Answer]:
        """Takes the result of the read that `ReadFirst` ordered; the state machine is applied up to it."""
        return self.grantor.on_read_confirmed(now, number, ok)

    def reports_for(self, now: int, work: str) -> dict[str, bytes]:
        """Returns the last report to that work of each member that sent one within a lease."""
        return {
            name: reports[work]
            for name, (received_at, reports) in self.reports.items()
            if work in reports and now < received_at + self.holder.span
        }

    # ---- as a work -----------------------------------------------------------------------------------

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        """Follows the roster after one of its entries."""
        return self._follow_roster() if entry.kind.startswith("members.") else []

    def restored(self, now: int) -> list[ProposalRequest]:
        """Follows the roster after a snapshot."""
        return self._follow_roster()

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Follows the roster regularly."""
        return self._follow_roster()

    def _follow_roster(self) -> list[ProposalRequest]:
        """Brings the phase of this process in line with the state of its incarnation."""
        self._check_digest()
        if self.phase in (Phase.COMPARED, Phase.VALID):
            self._check_eligibility()
        if self.phase is Phase.JOINING and "join" not in self.pending_tags:
            self.pending_tags.add("join")
            join = Join(self.member_name, self.token, self.votes)
            return [ProposalRequest("members.join", join, "join")]
        return []

    def _check_digest(self) -> None:
        agreed = self.roster.agreed
        own = self.roster.digests.get(agreed.index)
        if own is None or own == agreed.digest or self.phase in (Phase.DIFFERS, Phase.LEFT):
            return
        self.phase = Phase.DIFFERS
        self.evidence = (agreed.index, own, agreed.digest)
        self.holder.drop()

    def _check_eligibility(self) -> None:
        why = self.roster.ineligibility(self.member_name, self.incarnation)
        if not why:
            self.phase = Phase.VALID
            return
        member = self.roster.members.get((self.member_name, self.incarnation))
        if member is None or member.why == REPLACED_REASON:
            self.phase = Phase.REPLACED
            self.holder.drop()
        elif member.life in (MemberState.EVICTED, MemberState.LEASE_EXPIRED):
            self.refusal = f"{why}: {member.why}"
            self.rejoin()

    def rejoin(self) -> None:
        """Joins again under another incarnation without a lease."""
        self.holder.drop()
        self.phase = Phase.JOINING
        self.incarnation = 0
        self.token = self.make_token()

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        """Takes the outcome of a proposal; that of `join` has the incarnation."""
        self.pending_tags.discard(tag)
        if tag != "join" or self.phase is not Phase.JOINING or outcome is None or outcome.rejection:
            return []
        self.phase = Phase.COMPARED
        self.incarnation = msgspec.msgpack.decode(outcome.result, type=int)
        self.holder.start(self.incarnation)
        return self._follow_roster()

    def leave(self) -> list[ProposalRequest]:
        """Leaves in order after the last action: what it holds is free with this entry."""
        if self.phase not in (Phase.COMPARED, Phase.VALID):
            return []
        self.holder.drop()
        self.phase = Phase.LEFT
        return [ProposalRequest("members.leave", Leave(self.member_name, self.incarnation), "leave")]

    def report(self, now: int) -> bytes:
        """Returns nothing: the renewal itself has what the leader needs."""
        return b""

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """Returns the detector's proposals; a leader whose state differs proposes none and resigns."""
        if not self.grantor.term or self.phase is Phase.DIFFERS:
            return []
        requests = []
        for row in self.detector.proposals(now):
            word, about = entry_word(row)
            tag = f"{word} {about}"
            if tag not in self.pending_tags:
                self.pending_tags.add(tag)
                requests.append(ProposalRequest(f"members.{word}", row, tag))
        return requests

    def figures(self) -> dict[str, object]:
        """Returns what `status` shows."""
        return {
            "phase": self.phase.value,
            "incarnation": self.incarnation,
            "refusal": self.refusal,
            "leads": bool(self.grantor.term),
            "in_force": self.roster.in_force,
            "agreed": self.roster.agreed.index,
            "members": [self._member_status(member) for member in self.roster.members.values()],
        }

    def _member_status(self, member: Member) -> dict[str, object]:
        status: dict[str, object] = {
            "name": member.name,
            "incarnation": member.incarnation,
            "votes": member.votes,
            "life": member.life.value,
            "since": member.since,
            "why": member.why,
        }
        if self.grantor.term:
            status["standing"] = self.detector.standing(self.detector.last_run_at, member).value
        return status
