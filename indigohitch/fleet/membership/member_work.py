"""One member's part in the roster: it joins, holds its lease, compares its state, and judges where it leads.
No I/O.

The process that drives it (node/): proposes under `proposer()`; sends what `renew` returns to the leader, the
leader's own too; hands words to `heard`, roles to `became`, confirmed reads to `readable`, and carries out
what they return at once.  It acts only under `lease(now)`, asked right before the act."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping

import msgspec

from ...encoding.rows import Row
from ..interfaces import ProposalRequest
from ..types import Lease, LogEntry, Outcome
from .entries import Agreed, Compare, Evicted, InForce, Join, LeaseExpired, Leave, MemberState, Readmitted
from .failure_detector import FailureDetector
from .leases import Answer, LeaseGrantor, LeaseHolder, ReadFirst
from .messages import LeaseNotRenewed, LeaseRenewed, RenewLease
from .roster import LATER, Roster


class Phase(enum.StrEnum):
    JOINING = "joining"  # has no incarnation
    COMPARED = "being compared"
    VALID = "valid"  # may act while its lease lasts
    DIFFERS = "differs"  # its state isn't the others': it acts no more, and keeps the evidence
    REPLACED = "replaced"  # another process of this name has joined later
    LEFT = "left"


class Membership:
    name = "members"

    def __init__(
        self, me: str, votes: bool, roster: Roster, span: int, drift: float, token: Callable[[], int]
    ) -> None:
        """`span` of a lease, `drift` as in leases.py; `token()`: 62 bits of chance, another at each call."""
        self.me, self.votes, self.roster, self.draw = me, votes, roster, token
        self.phase, self.incarnation, self.token = Phase.JOINING, 0, token()
        self.holder = LeaseHolder(span, drift)
        self.giver = LeaseGrantor(span, drift, self.unfit)
        self.judge = FailureDetector(roster, span, self.giver.over)
        self.reports: dict[str, tuple[int, Mapping[str, bytes]]] = {}  # at the leader: when, by work
        self.out: set[str] = set()  # tags of proposals whose outcome isn't known
        self.evidence: tuple[int, bytes, bytes] | None = None  # point, own digest, that of the others
        self.refusal = ""  # why there is no lease, as last told

    def proposer(self) -> tuple[str, int]:
        """Under which name and incarnation this process proposes."""
        if self.incarnation:
            return self.me, self.incarnation
        return f"{self.me}?{self.token}", self.token

    def lease(self, now: int) -> Lease | None:
        """The right to act at this moment: by the clock, by the entries applied here, and by this state."""
        if self.phase is not Phase.VALID or self.roster.unfit(self.me, self.incarnation):
            return None
        return self.holder.lease(now)

    def unfit(self, name: str, incarnation: int) -> str:
        """Why the leader gives it no lease."""
        return self.roster.unfit(name, incarnation) or (
            "about to be shut out" if (name, incarnation) in self.judge.condemned else ""
        )

    # ---- words -------------------------------------------------------------------------------------

    def renew(self, now: int, wall: int, acts: int, reports: Mapping[str, bytes]) -> RenewLease | None:
        """Asked each beat, with `now` read before: what goes to the leader now, if anything is due.  Compared
        members ask too: that is how their digest comes to the leader."""
        if self.phase not in (Phase.COMPARED, Phase.VALID):
            return None
        if (number := self.holder.ask(now)) is None:
            return None
        point = self.roster.compared
        own = self.roster.digests.get(point, b"")
        return RenewLease(
            number,
            self.incarnation,
            self.roster.state_machine.index,
            point if own else 0,
            own,
            wall,
            acts,
            reports,
        )

    def heard(self, now: int, sender: str, word: Row) -> list[ReadFirst | Answer]:
        """`now` read after the word came."""
        match word:
            case LeaseRenewed():
                self.holder.heard(word)
                self.refusal = ""
            case LeaseNotRenewed() if word.incarnation == self.incarnation:
                self.refusal = word.why
            case RenewLease():
                if self.giver.term:
                    self.judge.heard(now, sender, word)
                    self.reports[sender] = now, word.reports
                return self.giver.came(now, sender, word)
        return []

    def became(self, now: int, role: str, term: int) -> None:
        """`now` read after the votes came."""
        if role != "leader":
            self.giver.deposed()
            self.reports.clear()
        elif self.giver.term != term:
            self.giver.elected(now, term)
            self.judge.begin(now)

    def readable(self, now: int, number: int, ok: bool) -> list[ReadFirst | Answer]:
        """The read that `ReadFirst` asked for; the state machine has been applied up to its index."""
        return self.giver.confirmed(now, number, ok)

    def told(self, now: int, work: str) -> dict[str, bytes]:
        """For that work's `lead`: the last report of each member heard of within a lease."""
        return {
            name: reports[work]
            for name, (at, reports) in self.reports.items()
            if work in reports and now < at + self.holder.span
        }

    # ---- as a work -----------------------------------------------------------------------------------

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        return self.look(now) if entry.kind.startswith("members.") else []

    def restored(self, now: int) -> list[ProposalRequest]:
        return self.look(now)

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        return self.look(now)

    def look(self, now: int) -> list[ProposalRequest]:
        """What the state machine says of this incarnation, against what this process takes itself for."""
        roster, agreed = self.roster, self.roster.agreed
        own = roster.digests.get(agreed.index)
        if own is not None and own != agreed.digest and self.phase not in (Phase.DIFFERS, Phase.LEFT):
            self.phase, self.evidence = Phase.DIFFERS, (agreed.index, own, agreed.digest)
            self.holder.drop()
        if self.phase in (Phase.COMPARED, Phase.VALID) and (why := roster.unfit(self.me, self.incarnation)):
            member = roster.members.get((self.me, self.incarnation))
            if member is None or member.why == LATER:
                self.phase = Phase.REPLACED
                self.holder.drop()
            elif member.life in (MemberState.SHUT_OUT, MemberState.GONE):
                self.refusal = f"{why}: {member.why}"
                self.anew()
        elif self.phase is Phase.COMPARED:
            self.phase = Phase.VALID
        if self.phase is Phase.JOINING and "join" not in self.out:
            self.out.add("join")
            return [ProposalRequest("members.join", Join(self.me, self.token, self.votes), "join")]
        return []

    def anew(self) -> None:
        """Shut out: it comes back under another incarnation, holding nothing."""
        self.holder.drop()
        self.phase, self.incarnation, self.token = Phase.JOINING, 0, self.draw()

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        self.out.discard(tag)
        if tag != "join" or self.phase is not Phase.JOINING or outcome is None or outcome.rejection:
            return []
        self.phase, self.incarnation = Phase.COMPARED, msgspec.msgpack.decode(outcome.result, type=int)
        self.holder.begin(self.incarnation)
        return self.look(now)

    def leave(self) -> list[ProposalRequest]:
        """At an orderly end, after the last act: what it holds is free with this entry."""
        if self.phase not in (Phase.COMPARED, Phase.VALID):
            return []
        self.holder.drop()
        self.phase = Phase.LEFT
        return [ProposalRequest("members.leave", Leave(self.me, self.incarnation), "leave")]

    def report(self, now: int) -> bytes:
        return b""

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """One whose state differs proposes nothing by it: the process gives up leading (`Phase.DIFFERS`)."""
        if not self.giver.term or self.phase is Phase.DIFFERS:
            return []
        wanted = []
        for row in self.judge.proposals(now):
            word, about = word_of(row)
            tag = f"{word} {about}"
            if tag not in self.out:
                self.out.add(tag)
                wanted.append(ProposalRequest(f"members.{word}", row, tag))
        return wanted

    def figures(self) -> dict:
        now_leads = bool(self.giver.term)
        return {
            "phase": self.phase.value,
            "incarnation": self.incarnation,
            "refusal": self.refusal,
            "leads": now_leads,
            "in_force": self.roster.in_force,
            "agreed": self.roster.agreed.index,
            "members": [
                {
                    "name": member.name,
                    "incarnation": member.incarnation,
                    "votes": member.votes,
                    "life": member.life.value,
                    "since": member.since,
                    "why": member.why,
                    **({"standing": self.judge.standing(self.judge.now, member).value} if now_leads else {}),
                }
                for member in self.roster.members.values()
            ],
        }


def word_of(row: Row) -> tuple[str, str]:
    """The word of the judge's entry (`members.word`), and whom it is about, "" where it is about all."""
    match row:
        case Evicted():
            return "shut_out", f"{row.name} {row.incarnation}"
        case LeaseExpired():
            return "gone", f"{row.name} {row.incarnation}"
        case Readmitted():
            return "back", f"{row.name} {row.incarnation}"
        case Compare():
            return "compare", ""
        case Agreed():
            return "agreed", ""
        case InForce():
            return "in_force", ""
    raise TypeError(f"no entry of the judge: {row}")
