"""Which version is in force: acknowledged versions added up, per distributor and for all.  No I/O."""

from __future__ import annotations

from ...packed.rows import Row
from .messages import Behind, Unreachable
from .terms import DistributorName, Version


class InForce(Row, frozen=True):
    """`version`: each reachable subscriber has all changes of its scope up to it.  `age`: since the oldest
    change that is not in force was applied at a distributor; 0: all are.  Unreachable ones are not counted in
    and may act on older content for `acting` tenths of a ms more, not longer.  `silent`: distributors whose
    report is missing or too old; their subscribers are counted with the unreachable."""

    version: Version
    newest: Version
    age: int
    subscribers: int
    behind_count: int
    behind: tuple[Behind, ...]
    unreachable_count: int
    unreachable: tuple[Unreachable, ...]
    acting: int
    silent: tuple[DistributorName, ...]
