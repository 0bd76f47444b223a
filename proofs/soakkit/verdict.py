"""What the runs of a soak add up to, and which promises they broke."""

from __future__ import annotations

from collections import Counter

from . import settings


class Verdict:
    READY_WITHIN, READY_MOSTLY_WITHIN, MOSTLY = 30.0, 10.0, 0.9  # s, s, of the starts

    def __init__(self) -> None:
        self.wrong: list[str] = []
        self.coordinators = self.calls = self.broken_calls = self.starts = 0
        self.faults: Counter[str] = Counter()
        self.ready: list[float] = []
        self.drains: list[float] = []
        self.messages_most, self.lines_most = 0, 0.0

    def take(self, told: dict) -> None:
        """What one worker wrote."""
        self.wrong += [f"a defect of the soak: {error}" for error in told["errors"]]
        for cell in told["cells"]:
            self.take_cell(cell)

    def take_cell(self, cell: dict) -> None:
        name = cell["cell"]
        self.coordinators += 1
        self.calls += cell["calls"]
        self.broken_calls += cell["calls_broken"]
        self.starts += cell["starts"]
        self.faults.update(cell["faults"])
        self.ready += cell["ready_after"]
        self.drains += cell["drains"]
        self.messages_most = max(self.messages_most, cell["messages_most"])
        self.lines_most = max(self.lines_most, cell["lines_most"])
        self.wrong += [
            f"{name}: rule {found['rule']} at {found['at']} s: {found['detail']}"
            for found in cell["violations"]
        ]
        self.wrong += [f"{name}: it crashed, exit code {code}" for code in cell["crashes"]]
        self.wrong += [f"{name}: {count} of {event}" for event, count in cell["events"].items() if count]
        self.wrong += [f"{name}: {count} of {kind}" for kind, count in cell["invariants"].items() if count]
        if not cell["converged"]:
            self.wrong.append(f"{name}: after quiet a slice has no line, or one at a backend that leaves")
        if len(cell["ready_after"]) < cell["starts"]:
            self.wrong.append(f"{name}: {len(cell['ready_after'])} of {cell['starts']} starts were ready")
        if cell["messages_most"] > settings.MESSAGES:
            self.wrong.append(
                f"{name}: {cell['messages_most']} messages to a proxy within {settings.WINDOW} s"
            )
        if cell["lines_most"] > settings.QUEUE:
            self.wrong.append(f"{name}: {cell['lines_most']} lines waited in the channel")

    def judge_readiness(self) -> None:
        slow = sorted(self.ready)[int(len(self.ready) * self.MOSTLY) - 1] if self.ready else 0.0
        if slow > self.READY_MOSTLY_WITHIN or max(self.ready, default=0.0) > self.READY_WITHIN:
            self.wrong.append(
                f"nine in ten were ready within {slow:.1f} s, all within {max(self.ready):.1f} s"
            )

    def result(self) -> dict:
        self.judge_readiness()
        drains = sorted(self.drains) or [0.0]
        return {
            "coordinators": self.coordinators,
            "starts": self.starts,
            "ready_s_most": max(self.ready, default=0.0),
            "calls": self.calls,
            "calls_broken": self.broken_calls,
            "drains": len(self.drains),
            "drain_s_p50": drains[len(drains) // 2],
            "drain_s_p99": drains[len(drains) * 99 // 100],
            "drain_s_most": drains[-1],
            "messages_most": self.messages_most,
            "messages_allowed": settings.MESSAGES,
            "lines_most": self.lines_most,
            "lines_allowed": settings.QUEUE,
            "faults": dict(sorted(self.faults.items())),
            "broken": len(self.wrong),
        }
