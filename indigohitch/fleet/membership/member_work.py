"""The membership of one process: it joins, renews its lease, compares its state, and grants leases as leader.

No I/O.  The process that drives it (node/) proposes under `proposer()` and sends what `renew` returns to the
leader, also if that is itself.  It passes messages to `on_message`, role changes to `on_role_changed` and
confirmed reads to `on_read_confirmed`, and carries out at once what they return.  It acts only under
`lease(now)`, checked right before each action.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from ...encoding.rows import Row
from ..interfaces import ProposalRequest
from ..types import Lease, LogEntry, Outcome
from .entries import Join, Leave, Member, MemberState
from .failure_detector import FailureDetector, entry_kind
from .incarnations import REPLACED_REASON
from .leases import LeaseGrantor, LeaseHolder, SendReply, StartRead
from .messages import LeaseNotRenewed, LeaseRenewed, RenewLease
from .phases import Phase
from .roster import Roster


class Membership:
    """The work module of the state machine part `members` in this process."""

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

        `span` is the lease duration and `drift` the largest clock drift, as in leases.py; `make_token()`
        returns 62 new random bits at each call.
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
        # At the leader, by member: when its reports came, and the reports by work.
        self.reports: dict[str, tuple[int, Mapping[str, bytes]]] = {}
        self.pending_tags: set[str] = set()  # of proposals whose outcome is not known yet
        self.evidence: tuple[int, bytes, bytes] | None = None  # index, own digest, digest of the majority
        self.refusal = ""  # why the last renewal was refused

    def proposer(self) -> tuple[str, int]:
        """Returns the name and incarnation under which this process proposes."""
        if self.incarnation:
            return self.member_name, self.incarnation
        return f"{self.member_name}?{self.token}", self.token

    def lease(self, now: int) -> Lease | None:
        """Returns the lease to act under now, or None, by the clock, the applied state and the phase."""
        if self.phase is not Phase.VALID or self.roster.ineligibility(self.member_name, self.incarnation):
            return None
        return self.holder.lease(now)

    def _ineligibility(self, name: str, incarnation: int) -> str:
        """Returns why this leader grants an incarnation no lease, "" if it does."""
        return self.roster.ineligibility(name, incarnation) or (
            "about to be shut out" if (name, incarnation) in self.detector.eviction_reasons else ""
        )

    # ---- messages ----------------------------------------------------------------------------------

    def renew(self, now: int, wall: int, acts: int, reports: Mapping[str, bytes]) -> RenewLease | None:
        """Returns the request to send to the leader, or None if none is due; `now` is read before it is sent.

        Members that are being compared send it too, because it carries their digest to the leader.
        """
        if self.phase not in (Phase.BEING_COMPARED, Phase.VALID):
            return None
        number = self.holder.next_renewal(now)
        if number is None:
            return None
        compared = self.roster.compared
        digest = self.roster.digests.get(compared, b"")
        applied = self.roster.state_machine.index
        return RenewLease(
            number, self.incarnation, applied, compared if digest else 0, digest, wall, acts, reports
        )

    def on_message(self, now: int, sender: str, message: Row) -> list[StartRead | SendReply]:
        """Handles a message and returns what the caller has to do; `now` is read after its arrival."""
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
        """Starts or stops granting leases with the Raft role; `now` is read after the votes arrived."""
        if role != "leader":
            self.grantor.on_deposed()
            self.reports.clear()
        elif self.grantor.term != term:
            self.grantor.on_elected(now, term)
            self.detector.start(now)

    def on_read_confirmed(self, now: int, number: int, confirmed: bool) -> list[StartRead | SendReply]:
        """Handles the result of a read; the state machine has applied the log up to its index."""
        return self.grantor.on_read_confirmed(now, number, confirmed)

    def reports_for(self, now: int, work: str) -> dict[str, bytes]:
        """Returns the last report for a work of each member that sent one within the duration of a lease."""
        return {
            name: reports[work]
            for name, (received_at, reports) in self.reports.items()
            if work in reports and now < received_at + self.holder.span
        }

    # ---- interface of a work -------------------------------------------------------------------------

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        """Updates the phase after an entry of the roster."""
        return self._follow_roster() if entry.kind.startswith("members.") else []

    def restored(self, now: int) -> list[ProposalRequest]:
        """Updates the phase after a snapshot has been restored."""
        return self._follow_roster()

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Updates the phase at regular intervals."""
        return self._follow_roster()

    def _follow_roster(self) -> list[ProposalRequest]:
        """Updates the phase from the state of this incarnation, and proposes to join if it has none."""
        self._check_digest()
        if self.phase in (Phase.BEING_COMPARED, Phase.VALID):
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
        elif member.state in (MemberState.EVICTED, MemberState.LEASE_EXPIRED):
            self.refusal = f"{why}: {member.why}"
            self.rejoin()

    def rejoin(self) -> None:
        """Drops the lease and the incarnation, so that this process joins under a new one."""
        self.holder.drop()
        self.phase = Phase.JOINING
        self.incarnation = 0
        self.token = self.make_token()

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        """Handles the outcome of a proposal; that of `join` is the incarnation."""
        self.pending_tags.discard(tag)
        if tag != "join" or self.phase is not Phase.JOINING or outcome is None or outcome.rejection:
            return []
        self.phase = Phase.BEING_COMPARED
        self.incarnation = msgspec.msgpack.decode(outcome.result, type=int)
        self.holder.start(self.incarnation)
        return self._follow_roster()

    def leave(self) -> list[ProposalRequest]:
        """Proposes to leave after the last action; the entry frees what this member holds."""
        if self.phase not in (Phase.BEING_COMPARED, Phase.VALID):
            return []
        self.holder.drop()
        self.phase = Phase.LEFT
        return [ProposalRequest("members.leave", Leave(self.member_name, self.incarnation), "leave")]

    def report(self, now: int) -> bytes:
        """Returns an empty report: the renewal itself has what the leader needs."""
        return b""

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """Returns the detector's proposals; a leader whose state differs makes none and resigns."""
        if not self.grantor.term or self.phase is Phase.DIFFERS:
            return []
        requests = []
        for row in self.detector.proposals(now):
            kind, subject = entry_kind(row)
            tag = f"{kind} {subject}"
            if tag not in self.pending_tags:
                self.pending_tags.add(tag)
                requests.append(ProposalRequest(f"members.{kind}", row, tag))
        return requests

    def figures(self) -> dict[str, object]:
        """Returns the status of the membership, for `status`."""
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
            "life": member.state.value,
            "since": member.since,
            "why": member.why,
        }
        if self.grantor.term:
            status["standing"] = self.detector.standing(self.detector.last_run_at, member).value
        return status
