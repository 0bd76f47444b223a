"""The work of the part `audit` in one process: proposes heads, scrubs the folder, reports to the leader.

It also saves the state as evidence when it differs from that of the other members.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from ...encoding.rows import Row
from ...errors import DirectorError
from ...net.clock import SECOND
from ..interfaces import ProposalRequest
from ..membership.member_work import Membership
from ..types import Lease, LogEntry, Outcome
from .action_chain import ActionChain
from .check import Finding
from .heads import Head, Heads
from .scrub import Scrubber

# Between two heads while there are new actions.  A record that is rewritten within a second of its action,
# before its head is committed, can't be detected.  Each head is a log entry of some 60 bytes a member.
HEAD_INTERVAL = SECOND
MAX_REPORTED_FINDINGS = 4  # in a report; the member's own log has all


class Report(Row):
    """What a member reports to the leader about its own actions."""

    acts: int  # number of actions of this incarnation
    # Index of the change acted on, number of actions, fleet time of the first and of the last.
    versions: list[tuple[int, int, int, int]]
    findings: list[Finding]
    rounds: int  # how often it has read its whole folder


def report_status(report: Report) -> dict:
    """Returns a report as plain JSON values, for `status`."""
    return {
        "acts": report.acts,
        "rounds": report.rounds,
        "versions": [
            {"version": version, "acts": actions, "from_ms": first_at / 10, "to_ms": last_at / 10}
            for version, actions, first_at, last_at in report.versions
        ],
        "findings": [
            {"kind": one.kind, "incarnation": one.incarnation, "number": one.number, "what": one.what}
            for one in report.findings
        ],
    }


class AuditWork:
    """The work of the state machine part `audit` in one process."""

    name = "audit"

    def __init__(
        self,
        acts: ActionChain,
        heads: Heads,
        membership: Membership,
        report_error: Callable[[DirectorError], None],
    ) -> None:
        """Creates the work; `report_error` is called with each error that an operator should know of."""
        self.acts = acts
        self.heads = heads
        self.membership = membership
        self.report_error = report_error
        self.has_saved_evidence = False  # of a state that differs from that of the others
        self.pending_head: Head | None = None  # proposed; its outcome is not known yet
        self.acknowledged = 0, 0  # incarnation and number of the last head whose outcome is known
        self.next_head_at = 0
        self.contradiction = ""  # what the replicated state said against this member's chain
        self.scrub = Scrubber(acts.member, acts.store, lambda: heads.facts)
        self.reports: Mapping[str, bytes] = {}  # at the leader: the last one of each member

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        """Does nothing: no entry calls for a proposal."""
        return []

    def restored(self, now: int) -> list[ProposalRequest]:
        """Does nothing: the state is read when it is needed."""
        return []

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Scrubs a chunk, starts a sync, and proposes a head if one is due.

        A head only covers records that are synced to the disk.  A member that has stopped acting still
        proposes its last head, as long as the replicated state accepts it.
        """
        if self.membership.evidence is not None and not self.has_saved_evidence:
            self.has_saved_evidence = True
            self._save_evidence(*self.membership.evidence)
        self._scrub_chunk(now)
        self.acts.start_sync()
        return self._propose_head(now) if now >= self.next_head_at else []

    def _scrub_chunk(self, now: int) -> None:
        try:
            found = self.scrub.step(now)
        except OSError as error:
            self.report_error(
                DirectorError(
                    f"could not read the recorded actions: {error.strerror}", str(self.acts.store.folder)
                )
            )
            return
        for one in found:
            self.report_error(
                DirectorError(
                    f"audit finding `{one.kind}` at record {one.number}: {one.what}",
                    f"{one.member} {one.incarnation}",
                    "keep the folder and compare it with a copy: someone changed its files, or the disk "
                    "damaged them",
                )
            )

    def _propose_head(self, now: int) -> list[ProposalRequest]:
        if (
            self.acts.synced_head is None
            or self.pending_head is not None
            or self.acts.synced_head[:2] <= self.acknowledged
        ):
            return []
        self.next_head_at = now + HEAD_INTERVAL
        self.pending_head = Head(self.acts.member, *self.acts.synced_head, *self.acts.store.retained_range())
        return [ProposalRequest("audit.head", self.pending_head, "head")]

    def propose_last_head(self, now: int) -> list[ProposalRequest]:
        """Syncs the records and proposes the last head, after the last action before this member leaves."""
        return self._propose_head(now) if self.acts.sync() else []

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        """Handles the outcome of a head: deletes the files that it released, or reports a contradiction."""
        head = self.pending_head
        self.pending_head = None
        if head is None or outcome is None:
            return []
        if outcome.rejection:  # the lease has ended: no further head of this incarnation is accepted
            self.acknowledged = max(self.acknowledged, (head.incarnation, head.number))
        elif contradiction := msgspec.msgpack.decode(outcome.result):
            self.contradiction = contradiction
            self.acknowledged = (head.incarnation, head.number)
            self.report_error(
                DirectorError(
                    f"the chain of recorded actions {contradiction}",
                    f"{head.member} {head.incarnation}",
                    "two processes run under one member name, or the folder was changed: stop this member "
                    "and keep its folder",
                )
            )
        else:
            self.acknowledged = head.incarnation, head.number
            self.acts.store.delete_released(head.first, head.oldest)
        return []

    def _save_evidence(self, index: int, own: bytes, others: bytes) -> None:
        """Saves this member's state, which differs from that of the others at `index` (Phase.DIFFERS)."""
        state_machine = self.acts.state_machine
        try:
            self.acts.store.save_evidence(f"{index}-{state_machine.index}.book", state_machine.snapshot())
        except OSError as error:
            self.report_error(
                DirectorError(
                    f"could not save the differing state as evidence: {error.strerror}",
                    str(self.acts.store.folder),
                )
            )
        self.report_error(
            DirectorError(
                f"the state at entry {index} has digest {own.hex()}, that of the other members "
                f"{others.hex()}: this member acts no more",
                str(self.acts.store.folder),
                "keep this folder for analysis, and start the member with an empty one: it then copies the "
                "state of the others",
            )
        )

    def report(self, now: int) -> bytes:
        """Returns the msgpack of this member's `Report`."""
        return msgspec.msgpack.encode(
            Report(
                self.acts.number,
                [(version, *span) for version, span in sorted(self.acts.activity.items())],
                self.scrub.found[:MAX_REPORTED_FINDINGS],
                self.scrub.rounds,
            )
        )

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """Keeps the reports of the members for `status`; proposes nothing."""
        self.reports = reports
        return []

    def _member_reports(self) -> dict:
        """Returns the reports of all members for `status`; there are some only at the leader."""
        decoded = {}
        for name, report in sorted(self.reports.items()):
            try:
                decoded[name] = report_status(msgspec.msgpack.decode(report, type=Report))
            except msgspec.MsgspecError:
                decoded[name] = {"unreadable": True}
        return decoded

    def figures(self) -> dict:
        """Returns the actions, chain and reports of this member and the replicated heads, for `status`."""
        facts = self.heads.facts
        chain = self.acts.chain
        return {
            "own": report_status(msgspec.msgpack.decode(self.report(0), type=Report)),
            "members": self._member_reports(),
            "acts": {kind: count for kind, count in sorted(self.acts.counts.items())},
            "chain": {
                "incarnation": chain.incarnation,
                "number": chain.number,
                "head": chain.head.hex(),
                "told": self.acknowledged[1],
            }
            if chain is not None
            else None,
            "wrong": self.contradiction,
            "torn_bytes_cut": max(0, self.acts.store.torn_bytes_cut),
            "heads": [
                {
                    "member": name,
                    "incarnation": one.incarnation,
                    "number": one.number,
                    "digest": one.digest.hex(),
                    "shut_out": one.evicted_index,
                    "gone": one.lease_ended_index,
                }
                for name, incarnations in sorted(facts.incarnations.items())
                for one in incarnations
            ],
            "in_force": [
                {"version": change.version, "entry": change.index} for change in facts.converged_changes
            ],
            "contradictions": len(facts.contradictions),
        }
