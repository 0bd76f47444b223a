"""What a replay measures: how many were asked for and sent, how late, how long they took.  No I/O."""

from __future__ import annotations

from collections import Counter

from hdrh.histogram import HdrHistogram

from ..entry import SECOND

MOST = 3600 * SECOND  # the longest time that is told apart
PARTS = 10  # of the schedule, for the rate asked and sent


def histogram() -> HdrHistogram:
    return HdrHistogram(1, MOST, 3)


class Figures:
    def __init__(self, span: int) -> None:
        """`span`: of the schedule, tenths of a ms."""
        self.span = max(span, 1)
        self.took: dict[str, HdrHistogram] = {}  # by RPC, from the time it was due
        self.late = histogram()
        self.asked: dict[str, list[int]] = {}  # by RPC, in each part of the schedule
        self.sent: dict[str, list[int]] = {}
        self.status: Counter[str] = Counter()
        self.over_time: dict[int, HdrHistogram] = {}  # by second

    def part(self, at: int) -> int:
        return min(max(at, 0) * PARTS // self.span, PARTS - 1)

    def went(self, rpc: str, due: int, at: int) -> None:
        self.asked.setdefault(rpc, [0] * PARTS)[self.part(due)] += 1
        self.sent.setdefault(rpc, [0] * PARTS)[self.part(at)] += 1
        self.late.record_value(max(1, min(at - due, MOST)))

    def answered(self, rpc: str, due: int, at: int, outcome: str) -> None:
        """`outcome`: the status, or why there is none."""
        self.status[outcome] += 1
        value = max(1, min(at - due, MOST))
        self.took.setdefault(rpc, histogram()).record_value(value)
        self.over_time.setdefault(due // SECOND, histogram()).record_value(value)

    def frozen(self) -> dict:
        """For another process, or a report."""
        return {
            "span": self.span,
            "asked": self.asked,
            "sent": self.sent,
            "status": dict(self.status),
            "late": self.late.encode().decode(),
            "took": {rpc: h.encode().decode() for rpc, h in self.took.items()},
            "over_time": {str(s): h.encode().decode() for s, h in self.over_time.items()},
        }

    def add(self, frozen: dict) -> None:
        """Those of another process, of the same schedule."""
        for mine, theirs in ((self.asked, frozen["asked"]), (self.sent, frozen["sent"])):
            for rpc, parts in theirs.items():
                mine[rpc] = [a + b for a, b in zip(mine.get(rpc, [0] * PARTS), parts)]
        self.status.update(frozen["status"])
        self.late.decode_and_add(frozen["late"].encode())
        for rpc, text in frozen["took"].items():
            self.took.setdefault(rpc, histogram()).decode_and_add(text.encode())
        for second, text in frozen["over_time"].items():
            self.over_time.setdefault(int(second), histogram()).decode_and_add(text.encode())

    def rate_error(self) -> float:
        """The largest difference of rate, sent against asked, of any RPC in any part with 20 requests:
        fewer are no rate."""
        return max(
            (
                abs(sent - asked) / asked
                for rpc in self.asked
                for asked, sent in zip(self.asked[rpc], self.sent[rpc])
                if asked >= 20
            ),
            default=0.0,
        )

    def told(self) -> dict:
        """For people and scripts; times in ms."""

        def at(h: HdrHistogram) -> dict:
            return {f"p{p:g}_ms": h.get_value_at_percentile(p) / 10 for p in (50, 90, 99, 99.9)} | {
                "max_ms": h.get_max_value() / 10,
                "count": h.get_total_count(),
            }

        return {
            "sent": sum(map(sum, self.sent.values())),
            "rate_error_max": round(self.rate_error(), 4),
            "lateness": at(self.late),
            "outcomes": dict(sorted(self.status.items())),
            "rpcs": {
                rpc: at(h) | {"asked": self.asked.get(rpc, []), "sent": self.sent.get(rpc, [])}
                for rpc, h in sorted(self.took.items())
            },
        }
