"""What must hold at the end: all members' state machines equal, and each acknowledged note there once."""

from __future__ import annotations

import threading
import time
from collections import Counter

from .fleet import Fleet
from .processes import until


def state_machines(fleet: Fleet) -> dict[str, tuple[int, str]]:
    """By member that answers: the index it stands at, and its state machine's digest."""
    found = {}
    for name in fleet.members:
        if (told := fleet.ask(name, "book", 3.0)) and "digest" in told:
            found[name] = (told["index"], told["digest"])
    return found


def settled(fleet: Fleet, most: float = 30.0) -> dict[str, tuple[int, str]]:
    """All healed and running; waits until all states stand at one entry, and returns them.  Digests may still
    differ: that is for the proof to judge.  An entry a beat may come meanwhile: those that stand at the same
    one are compared, and `most` seconds are given for all to be seen at one."""
    fleet.breaker.heal()
    for name, member in fleet.members.items():
        if member.stopped:
            fleet.go_on(name)
        fleet.restart(name)
    fleet.ready(most)

    def level() -> dict | None:
        found = state_machines(fleet)
        same = len({index for index, _ in found.values()}) == 1
        return found if same and len(found) == len(fleet.members) else None

    return until(level, most, "books at one entry")


class Notes:
    """Clients that propose notes through members in turn, each once, and remember what they were told."""

    def __init__(
        self, fleet: Fleet, clients: int = 3, prefix: str = "n", wait: float = 1.0, gap: float = 0.03
    ) -> None:
        """`gap`: seconds that a client rests after each answer; the state machine keeps 4096 notes."""
        self.fleet, self.prefix, self.wait, self.gap = fleet, prefix, wait, gap
        self.acknowledged: dict[str, float] = {}  # text: when (time.monotonic)
        self.sent: dict[str, float] = {}  # text: when it went out
        self.highest = 0  # entry of any acknowledged so far
        self.pushed_back = self.unknown = 0
        self.stopping = False
        self._threads = [threading.Thread(target=self._run, args=(n,), daemon=True) for n in range(clients)]

    def start(self) -> Notes:
        for thread in self._threads:
            thread.start()
        return self

    def stop(self) -> None:
        self.stopping = True
        for thread in self._threads:
            thread.join(self.wait + 5)

    def _run(self, client: int) -> None:
        voters, number = self.fleet.voters, 0
        while not self.stopping:
            number += 1
            text = f"{self.prefix}{client}-{number}"
            self.sent[text] = time.monotonic()
            told = self.fleet.note(voters[(client + number) % len(voters)], text, self.wait)
            if told and told.get("index") and not told.get("refused"):
                self.acknowledged[text] = time.monotonic()
                self.highest = max(self.highest, told["index"])
                time.sleep(self.gap)
            elif told and "again_ms" in told:
                self.pushed_back += 1
                time.sleep(min(0.2, told["again_ms"] / 1000))
            else:
                self.unknown += 1
                time.sleep(0.02)

    def first_after(self, since: float) -> float | None:
        """When the first note that was sent after `since` was acknowledged."""
        return min(
            (at for text, at in list(self.acknowledged.items()) if self.sent[text] > since), default=None
        )

    def judged(self, texts: list[str]) -> tuple[list[str], list[str]]:
        """Of the notes that a state holds: those acknowledged that it lacks, those it has more than once."""
        counts = Counter(texts)
        return (
            [text for text in self.acknowledged if not counts[text]],
            [text for text in self.sent if counts[text] > 1],
        )
