"""Commands of operators to a node over the control socket, beside `status`.

{"ask": "note TEXT"}                    stores a text in the state machine for all to see
{"ask": "notes"}                        the texts stored
{"ask": "propose", "kind": "notes.add", "body": ["text"]}   any entry
{"ask": "read"}                         an index confirmed by a majority, and the state machine's digest there
{"ask": "book"}                         index and digest of the state; `book NAME`: one part's row
{"ask": "out NAME"}                     removes a member that no file lists any more; only at the leader
{"ask": "batch", "batch": {...}}        submits one (batches/asking.py shows its shape)
{"ask": "piece ID from STEP"}           restarts a piece of a batch; or `done`, or `drop`
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
from .messages import MAX_BODY_BYTES

if TYPE_CHECKING:
    from .node import Node

# A line of the control socket: a JSON object.
Line = dict[str, object]

MAX_SHOWN = 256  # entries of `ledger`


class AdminRequests:
    """Handles one command; `answer` is called with its result, at once or later."""

    def __init__(self, node: Node | None, answer: Callable[[Line], None]) -> None:
        """`node` is None while this process takes no part in the fleet."""
        self.node = node
        self.answer = answer

    def handle(self, what: str, line: Line) -> bool:
        """Handles a command; returns False for one of another part of the process."""
        first, _, rest = what.partition(" ")
        action = {
            "note": self._note,
            "notes": self._notes,
            "propose": self._propose,
            "read": self._read,
            "book": self._replicated_state,
            "ledger": self._ledger,
            "out": self._remove_member,
            "batch": self._batch,
            "piece": self._piece,
            "distribute": self._distribute,
        }.get(first)
        if action is None:
            return False
        if self.node is None or self.node.driver.machine is None:
            self.answer({"error": "this process takes no part in the fleet now", "again_ms": 500})
            return True
        try:
            action(rest, line)
        except UnavailableError as error:
            self.answer({"error": error.problem, "again_ms": error.retry_after_ticks / 10})
        except InvalidRequestError as error:
            self.answer({"error": str(error)})
        return True

    def _remove_member(self, rest: str, line: Line) -> None:
        node = self.node
        leader = node.driver.leader_name
        if not node.driver.leads:
            self.answer({"error": f"{leader or 'nobody'} leads: ask there", "leader": leader})
            return
        why = node.join.remove_member(rest)
        self.answer({"error": why} if why else {"result": "it goes out with the next entries"})

    def _note(self, rest: str, line: Line) -> None:
        self._submit("notes.add", msgspec.msgpack.encode([rest]))

    def _propose(self, rest: str, line: Line) -> None:
        self._submit(str(line.get("kind", rest)), msgspec.msgpack.encode(line.get("body", [])))

    def _batch(self, rest: str, line: Line) -> None:
        self._submit("batches.submit", msgspec.msgpack.encode(batch_of(line.get("batch"))))

    def _piece(self, rest: str, line: Line) -> None:
        self._submit("batches.word", msgspec.msgpack.encode(word_of(rest)))

    def _distribute(self, rest: str, line: Line) -> None:
        entry = parse_entry(rest, line.get("services"))
        self._submit(f"distribution.{rest}", msgspec.msgpack.encode(entry))

    def _submit(self, kind: str, body: bytes) -> None:
        if len(body) > MAX_BODY_BYTES or not kind or kind.startswith("ledger."):
            self.answer({"error": f"no entry of this kind or size: {kind[:40]}, {len(body)} bytes"})
            return
        self.node.traffic.propose(kind, body, self._on_outcome)

    def _on_outcome(self, outcome: Outcome | None) -> None:
        if outcome is None:
            self.answer(
                {"error": "not known: this member began anew; it may have taken effect", "unknown": True}
            )
            return
        result: Line = {"index": outcome.index, "doubled": outcome.is_duplicate}
        if outcome.rejection:
            result |= {"refused": outcome.rejection, "error": outcome.rejection}
        elif outcome.result:
            result["told"] = msgspec.msgpack.decode(outcome.result)
        self.answer(result)

    def _read(self, rest: str, line: Line) -> None:
        def done(index: int | None) -> None:
            if index is None:
                self.answer({"error": "no majority confirmed it", "again_ms": 100})
            else:
                self.answer({"index": index, "digest": self.node.state_machine.digest().hex()})

        self.node.traffic.read(done)

    def _notes(self, rest: str, line: Line) -> None:
        self._replicated_state("notes", line)

    def _replicated_state(self, rest: str, line: Line) -> None:
        state_machine = self.node.state_machine
        result: Line = {
            "index": state_machine.index,
            "term": state_machine.term,
            "digest": state_machine.digest().hex(),
        }
        if rest == "notes":
            result["texts"] = [text for _, text in state_machine.parts["notes"].texts]
        elif rest in state_machine.parts:
            result["part"] = msgspec.to_builtins(state_machine.parts[rest].row(), str_keys=True)
        elif rest:
            result = {"error": f"no part {rest[:40]}; there are {', '.join(state_machine.parts)}"}
        self.answer(result)

    def _ledger(self, rest: str, line: Line) -> None:
        recent = list(self.node.driver.recent)[-MAX_SHOWN:]
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
