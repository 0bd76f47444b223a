"""What people and proofs ask a node over the control socket, beside `status`:

{"ask": "note TEXT"}                    written down in the state machine for all to see
{"ask": "notes"}                        those kept
{"ask": "propose", "kind": "notes.add", "body": ["text"]}   any entry
{"ask": "read"}                         an index confirmed by a majority, and the state machine's digest there
{"ask": "book"}                         where the state stands, and its digest; `book NAME`: one part's row
{"ask": "out NAME"}                     a member that no file lists any more goes out; asked at the leader
{"ask": "batch", "batch": {...}}        submits one (batches/asking.py shows its shape)
{"ask": "piece ID from STEP"}           an operator's word on a piece: or `done`, or `drop`
{"ask": "distribute set", "services": {...}}   or `remove`, `replace` (distribution/asking.py)
{"ask": "ledger"}                       the last entries, each with a digest
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from ...errors import InvalidRequestError, UnavailableError
from ..batches.admin_requests import batch_of, word_of
from ..distribution.admin_requests import parse_entry
from ..types import Outcome
from .messages import BODY

if TYPE_CHECKING:
    from .node import Node

SHOWN = 256  # entries of `ledger`


class AdminRequests:
    def __init__(self, node: Node | None, answer: Callable[[dict], None]) -> None:
        self.node, self.answer = node, answer

    def word(self, what: str, line: dict) -> bool:
        """False: no word of ours."""
        first, _, rest = what.partition(" ")
        action = {
            "note": self.note,
            "notes": self.notes,
            "propose": self.propose,
            "read": self.read,
            "book": self.replicated_state,
            "ledger": self.ledger,
            "out": self.out,
            "batch": self.batch,
            "piece": self.piece,
            "distribute": self.distribute,
        }.get(first)
        if action is None:
            return False
        if self.node is None or self.node.driver.machine is None:
            self.answer({"error": "this process takes no part in the fleet now", "again_ms": 500})
            return True
        try:
            action(rest, line)
        except UnavailableError as late:
            self.answer({"error": late.problem, "again_ms": late.retry_after_ticks / 10})
        except InvalidRequestError as unfit:
            self.answer({"error": str(unfit)})
        return True

    def out(self, rest: str, line: dict) -> None:
        node, leader = self.node, self.node.leader_name
        if not node.driver.leads:
            self.answer({"error": f"{leader or 'nobody'} leads: ask there", "leader": leader})
            return
        why = node.admitting.take_out(rest)
        self.answer({"error": why} if why else {"result": "it goes out with the next entries"})

    def note(self, rest: str, line: dict) -> None:
        self.put("notes.add", msgspec.msgpack.encode([rest]))

    def propose(self, rest: str, line: dict) -> None:
        self.put(str(line.get("kind", rest)), msgspec.msgpack.encode(line.get("body", [])))

    def batch(self, rest: str, line: dict) -> None:
        self.put("batches.submit", msgspec.msgpack.encode(batch_of(line.get("batch"))))

    def piece(self, rest: str, line: dict) -> None:
        self.put("batches.word", msgspec.msgpack.encode(word_of(rest)))

    def distribute(self, rest: str, line: dict) -> None:
        entry = parse_entry(rest, line.get("services"))
        self.put(f"distribution.{rest}", msgspec.msgpack.encode(entry))

    def put(self, kind: str, body: bytes) -> None:
        if len(body) > BODY or not kind or kind.startswith("ledger."):
            self.answer({"error": f"no entry of this kind or size: {kind[:40]}, {len(body)} bytes"})
            return
        self.node.traffic.propose(kind, body, self.known)

    def known(self, outcome: Outcome | None) -> None:
        if outcome is None:
            self.answer(
                {"error": "not known: this member began anew; it may have taken effect", "unknown": True}
            )
            return
        told = {"index": outcome.index, "doubled": outcome.is_duplicate}
        if outcome.rejection:
            told |= {"refused": outcome.rejection, "error": outcome.rejection}
        elif outcome.result:
            told["told"] = msgspec.msgpack.decode(outcome.result)
        self.answer(told)

    def read(self, rest: str, line: dict) -> None:
        def done(index: int | None) -> None:
            if index is None:
                self.answer({"error": "no majority confirmed it", "again_ms": 100})
            else:
                self.answer({"index": index, "digest": self.node.state_machine.digest().hex()})

        self.node.traffic.read(done)

    def notes(self, rest: str, line: dict) -> None:
        self.replicated_state("notes", line)

    def replicated_state(self, rest: str, line: dict) -> None:
        state_machine = self.node.state_machine
        told: dict = {
            "index": state_machine.index,
            "term": state_machine.term,
            "digest": state_machine.digest().hex(),
        }
        if rest == "notes":
            told["texts"] = [text for _, text in state_machine.parts["notes"].texts]
        elif rest in state_machine.parts:
            told["part"] = msgspec.to_builtins(state_machine.parts[rest].row(), str_keys=True)
        elif rest:
            told = {"error": f"no part {rest[:40]}; there are {', '.join(state_machine.parts)}"}
        self.answer(told)

    def ledger(self, rest: str, line: dict) -> None:
        recent = list(self.node.driver.recent)[-SHOWN:]
        self.answer(
            {
                "index": self.node.state_machine.index,
                "digest": self.node.state_machine.digest().hex(),
                "entries": [
                    {
                        "index": entry.index,
                        "term": entry.term,
                        "kind": entry.kind,
                        "proposer": entry.proposer,
                        "incarnation": entry.incarnation,
                        "number": entry.number,
                        "refused": outcome.rejection,
                        "doubled": outcome.is_duplicate,
                        "digest": check.hex(),
                    }
                    for entry, check, outcome in recent
                ],
            }
        )
