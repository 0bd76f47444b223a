"""The audit's part in a member's process: heads of its chain into the ledger, evidence kept, figures."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from ...encoding.rows import Row
from ...errors import DirectorError
from ...net.clock import SECOND
from ..interfaces import ProposalRequest
from ..membership.member_work import Membership
from ..types import Lease, LogEntry, Outcome
from .acts import ActionChain
from .check import Finding
from .heads import Head, Heads
from .scrub import Scrub

# From one head to the next while acts come: what is rewritten within a second of being done and before its
# head is committed can't be told; each head is an entry of some 60 bytes a member.
GAP = SECOND
TOLD = 4  # findings in a report; the member's own log has them all


class Report(Row):
    """Of one member to the leader.  `versions`: entry that changed what is acted by, acts, first, last."""

    acts: int
    versions: list[tuple[int, int, int, int]]
    findings: list[Finding]
    rounds: int  # how often it has read its whole folder


def shown(report: Report) -> dict:
    return {
        "acts": report.acts,
        "rounds": report.rounds,
        "versions": [
            {"version": version, "acts": acts, "from_ms": begun / 10, "to_ms": ended / 10}
            for version, acts, begun, ended in report.versions
        ],
        "findings": [
            {"kind": one.kind, "incarnation": one.incarnation, "number": one.number, "what": one.what}
            for one in report.findings
        ],
    }


class AuditWork:
    name = "audit"

    def __init__(
        self,
        acts: ActionChain,
        heads: Heads,
        membership: Membership,
        trouble: Callable[[DirectorError], None],
    ) -> None:
        self.acts = acts
        self.heads = heads
        self.membership = membership
        self.trouble = trouble
        self.kept = False  # the evidence of a state that differs
        self.out: Head | None = None  # proposed, its outcome not known
        self.told = 0, 0  # incarnation and number of the last head taken
        self.due = 0
        self.wrong = ""  # what the ledger said against this member's chain
        self.scrub = Scrub(acts.me, acts.store, lambda: heads.facts)
        self.told_by: Mapping[str, bytes] = {}  # at the leader: the last reports

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        return []

    def restored(self, now: int) -> list[ProposalRequest]:
        return []

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Only what is on the disk goes into a head.  One that shut itself out tells its last one still, as
        long as the ledger takes it."""
        if self.membership.evidence is not None and not self.kept:
            self.kept = True
            self.differs(*self.membership.evidence)
        self.look(now)
        self.acts.sync_soon()
        return self.head(now) if now >= self.due else []

    def look(self, now: int) -> None:
        try:
            found = self.scrub.step(now)
        except OSError as bad:
            self.trouble(
                DirectorError(f"the acts can't be read: {bad.strerror}", str(self.acts.store.folder))
            )
            return
        for one in found:
            self.trouble(
                DirectorError(
                    f"record {one.number} is {one.kind}: {one.what}",
                    f"{one.member} {one.incarnation}",
                    "keep the folder, and compare it with a "
                    "copy: someone or the disk changed what was written",
                )
            )

    def head(self, now: int) -> list[ProposalRequest]:
        if self.acts.safe is None or self.out is not None or self.acts.safe[:2] <= self.told:
            return []
        self.due = now + GAP
        self.out = Head(self.acts.me, *self.acts.safe, *self.acts.store.wanted())
        return [ProposalRequest("audit.head", self.out, "head")]

    def last(self, now: int) -> list[ProposalRequest]:
        """Before this incarnation leaves, after its last act."""
        return self.head(now) if self.acts.sync() else []

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        head = self.out
        self.out = None
        if head is None or outcome is None:
            return []
        if outcome.rejection:  # gone: the ledger takes no more of this incarnation
            self.told = max(self.told, (head.incarnation, head.number))
        elif why := msgspec.msgpack.decode(outcome.result):
            self.wrong = why
            self.told = (head.incarnation, head.number)
            self.trouble(
                DirectorError(
                    f"the chain of acts {why}",
                    f"{head.member} {head.incarnation}",
                    "two processes write under one name, or its folder was changed: stop this "
                    "member and keep its folder",
                )
            )
        else:
            self.told = head.incarnation, head.number
            self.acts.store.give_up(head.first, head.oldest)
        return []

    def differs(self, point: int, own: bytes, others: bytes) -> None:
        """This member's state is another than the others' (members.Phase.DIFFERS): the evidence is kept."""
        state_machine = self.acts.state_machine
        try:
            self.acts.store.keep(f"{point}-{state_machine.index}.book", state_machine.snapshot())
        except OSError as bad:
            self.trouble(
                DirectorError(f"the evidence can't be written: {bad.strerror}", str(self.acts.store.folder))
            )
        self.trouble(
            DirectorError(
                f"the state at entry {point} is {own.hex()}, of the others {others.hex()}: this "
                "member acts no more",
                str(self.acts.store.folder),
                "keep this folder for whoever looks into it, and start the member with an empty "
                "one: it learns the state anew",
            )
        )

    def report(self, now: int) -> bytes:
        return msgspec.msgpack.encode(
            Report(
                self.acts.number,
                [(version, *span) for version, span in sorted(self.acts.spans.items())],
                self.scrub.found[:TOLD],
                self.scrub.rounds,
            )
        )

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        self.told_by = reports
        return []

    def members(self) -> dict:
        """At the leader: what each member tells of itself."""
        told = {}
        for name, report in sorted(self.told_by.items()):
            try:
                told[name] = shown(msgspec.msgpack.decode(report, type=Report))
            except msgspec.MsgspecError:
                told[name] = {"unreadable": True}
        return told

    def figures(self) -> dict:
        facts = self.heads.facts
        chain = self.acts.chain
        return {
            "own": shown(msgspec.msgpack.decode(self.report(0), type=Report)),
            "members": self.members(),
            "acts": {kind: count for kind, count in sorted(self.acts.counts.items())},
            "chain": {
                "incarnation": chain.incarnation,
                "number": chain.number,
                "head": chain.head.hex(),
                "told": self.told[1],
            }
            if chain is not None
            else None,
            "wrong": self.wrong,
            "torn_bytes_cut": max(0, self.acts.store.cut),
            "heads": [
                {
                    "member": name,
                    "incarnation": one.incarnation,
                    "number": one.number,
                    "digest": one.digest.hex(),
                    "shut_out": one.shut_out,
                    "gone": one.gone,
                }
                for name, lives in sorted(facts.kept.items())
                for one in lives
            ],
            "in_force": [{"version": held.version, "entry": held.index} for held in facts.held],
            "contradictions": len(facts.evidence),
        }
