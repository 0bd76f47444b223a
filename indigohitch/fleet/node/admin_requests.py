"""Handles the commands of operators to a node over the control socket, other than `status`.

{"ask": "note TEXT"}                    adds a note to the replicated state, which every member can read
{"ask": "notes"}                        returns the notes
{"ask": "propose", "kind": "notes.add", "body": ["text"]}   proposes an entry of any kind
{"ask": "read"}                         returns an index confirmed by a majority, and the state's digest there
{"ask": "book"}                         returns index and digest of the state; `book NAME`: one part's row
{"ask": "out NAME"}                     removes a member that no file lists any more; only at the leader
{"ask": "batch", "batch": {...}}        submits a batch (`FORM` in batches/admin_requests.py shows its shape)
{"ask": "piece ID from STEP"}           restarts a piece of a batch; or `done`, or `drop`
{"ask": "distribute set", "services": {...}}   or `remove`, `replace` (distribution/admin_requests.py)
{"ask": "ledger"}                       returns the last entries, each with a digest
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from ...errors import InvalidRequestError, UnavailableError
from ..batches.admin_requests import parse_batch, parse_decision
from ..distribution.admin_requests import parse_entry
from ..types import Outcome
from .messages import MAX_BODY_BYTES

if TYPE_CHECKING:
    from .node import Node

# A command or a reply: one line on the control socket.
JsonObject = dict[str, object]

MAX_SHOWN_ENTRIES = 256  # in the reply to `ledger`


class AdminRequests:
    """Handles one command; `reply` is called with its result, at once or later."""

    def __init__(self, node: Node | None, reply: Callable[[JsonObject], None]) -> None:
        """Creates a handler; `node` is None while this process takes no part in the fleet."""
        self.node = node
        self.reply = reply

    def handle(self, name: str, command: JsonObject) -> bool:
        """Handles the command `name`; returns False if another part of the process handles it."""
        verb, _, argument = name.partition(" ")
        action = {
            "note": self._note,
            "notes": self._notes,
            "propose": self._propose,
            "read": self._read,
            "book": self._replicated_state,
            "ledger": self._recent_entries,
            "out": self._remove_member,
            "batch": self._submit_batch,
            "piece": self._control_piece,
            "distribute": self._distribute,
        }.get(verb)
        if action is None:
            return False
        if self.node is None or self.node.driver.raft_node is None:
            self.reply({"error": "this process takes no part in the fleet now", "again_ms": 500})
            return True
        try:
            action(argument, command)
        except UnavailableError as error:
            self.reply({"error": error.problem, "again_ms": error.retry_after_ticks / 10})
        except InvalidRequestError as error:
            self.reply({"error": str(error)})
        return True

    def _remove_member(self, argument: str, command: JsonObject) -> None:
        node = self.node
        leader = node.driver.leader_name
        if not node.driver.leads:
            self.reply(
                {
                    "error": f"only the leader removes members, and it is {leader or 'unknown'}",
                    "leader": leader,
                }
            )
            return
        refusal = node.join.remove_member(argument)
        self.reply({"error": refusal} if refusal else {"result": "its removal is proposed"})

    def _note(self, argument: str, command: JsonObject) -> None:
        self._submit("notes.add", msgspec.msgpack.encode([argument]))

    def _propose(self, argument: str, command: JsonObject) -> None:
        self._submit(str(command.get("kind", argument)), msgspec.msgpack.encode(command.get("body", [])))

    def _submit_batch(self, argument: str, command: JsonObject) -> None:
        self._submit("batches.submit", msgspec.msgpack.encode(parse_batch(command.get("batch"))))

    def _control_piece(self, argument: str, command: JsonObject) -> None:
        self._submit("batches.word", msgspec.msgpack.encode(parse_decision(argument)))

    def _distribute(self, argument: str, command: JsonObject) -> None:
        entry = parse_entry(argument, command.get("services"))
        self._submit(f"distribution.{argument}", msgspec.msgpack.encode(entry))

    def _submit(self, kind: str, body: bytes) -> None:
        if len(body) > MAX_BODY_BYTES or not kind or kind.startswith("ledger."):
            self.reply({"error": f"no entry of this kind or size: {kind[:40]}, {len(body)} bytes"})
            return
        self.node.messaging.propose(kind, body, self._on_outcome)

    def _on_outcome(self, outcome: Outcome | None) -> None:
        if outcome is None:
            self.reply(
                {
                    "error": "outcome unknown: this member has a new incarnation; the entry may be committed",
                    "unknown": True,
                }
            )
            return
        result: JsonObject = {"index": outcome.index, "doubled": outcome.is_duplicate}
        if outcome.rejection:
            result |= {"refused": outcome.rejection, "error": outcome.rejection}
        elif outcome.result:
            result["told"] = msgspec.msgpack.decode(outcome.result)
        self.reply(result)

    def _read(self, argument: str, command: JsonObject) -> None:
        def done(index: int | None) -> None:
            if index is None:
                self.reply({"error": "no majority confirmed it", "again_ms": 100})
            else:
                self.reply({"index": index, "digest": self.node.state_machine.digest().hex()})

        self.node.messaging.read(done)

    def _notes(self, argument: str, command: JsonObject) -> None:
        self._replicated_state("notes", command)

    def _replicated_state(self, argument: str, command: JsonObject) -> None:
        state_machine = self.node.state_machine
        result: JsonObject = {
            "index": state_machine.index,
            "term": state_machine.term,
            "digest": state_machine.digest().hex(),
        }
        if argument == "notes":
            result["texts"] = [text for _, text in state_machine.parts["notes"].texts]
        elif argument in state_machine.parts:
            result["part"] = msgspec.to_builtins(state_machine.parts[argument].row(), str_keys=True)
        elif argument:
            result = {"error": f"no part {argument[:40]}; there are {', '.join(state_machine.parts)}"}
        self.reply(result)

    def _recent_entries(self, argument: str, command: JsonObject) -> None:
        recent = list(self.node.driver.recent_entries)[-MAX_SHOWN_ENTRIES:]
        self.reply(
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
                        "digest": entry_digest.hex(),
                    }
                    for entry, entry_digest, outcome in recent
                ],
            }
        )
