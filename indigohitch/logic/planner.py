"""Which backend is to answer for which slice: the design's greedy planner, and what can't wait for it."""

from ..interface import SECOND
from .state import DEPARTING_STATES, Assignment, Backend, CoordinatorState, Slice


def allowance(c: CoordinatorState, b: Backend) -> float:
    """What a cold backend may be brought: its part of what the warm have been seen to answer."""
    # Half of the multiple that fells it, as empty caches double the work; a third while many tries fail.
    part = 0.35 if c.troubled() else 0.5
    return c.yield_ * b.weight * b.warmth * b.share * c.boot.get("fall_multiple", 2.0) * part


def may_take(c: CoordinatorState, b: Backend, s: Slice, mean: float) -> bool:
    return b.warmth >= 1 or (b.intake < 2 and b.load + s.burst <= min(mean * b.capacity, allowance(c, b)))


def mean_use(c: CoordinatorState, opened: list[Backend]) -> float:
    return sum(b.load for b in c.backends.values()) / (sum(b.capacity for b in opened) or 1.0)


def place(c: CoordinatorState, part: Assignment) -> None:
    """A slice without a live owner: weighted rendezvous over the room that is left."""
    s, load, opened = part.slice, part.load, c.opened()
    choice = [b for b in opened if b not in s.owners()]
    mean = mean_use(c, opened)
    fit = [b for b in choice if not b.doubtful and may_take(c, b, s, mean)]
    room = [(b, free) for b in fit if (free := 1.25 * mean * b.capacity - b.load) >= load]
    # Room under the band, else what is fit, else what is warm; never a cold one past its cap.
    if choice := room or [(b, b.capacity) for b in fit or [b for b in choice if b.warmth >= 1]]:
        move(c, part, max(choice, key=lambda pair: (pair[0].rank(s.number, pair[1]), pair[0].id))[0])
        part.rests_until = part.rests_until if room else c.now  # where there is none it may go on at once
    elif part.owner is not None and part.owner.state in DEPARTING_STATES:
        part.go_to(None)


def move(c: CoordinatorState, part: Assignment, to: Backend) -> None:
    load = part.load
    if part.owner is not None:
        part.owner.load -= load
    part.go_to(to)
    to.load += load
    to.intake += to.warmth < 1
    part.rests_until = c.now + 10 * SECOND  # half the design's rest: demand shifts in 12 to 24 s


def evacuate(c: CoordinatorState) -> None:
    """At once, outside the budget: all of what drains or is gone, and what is too much for a cold one."""
    opened = c.opened()
    for b in c.backends.values():
        over = b.state in DEPARTING_STATES
        if over and b.parts:
            c.log(f"{b.id} {b.state}: {len(b.parts)} slices leave")
        if over or b.warmth < 1 and any(o.warmth >= 1 and not o.lost for o in opened):
            for part in sorted(b.parts, key=lambda p: (-p.load, p.slice.number)):
                # What woke up with it goes by our share of its room, what another had put there by all of it.
                room = allowance(c, b) * (1 if part.slice.since <= b.started else c.many / b.share)
                if over or 0 < 1.5 * room < sum(p.slice.burst for p in b.parts):
                    place(c, part)
    for part in [part for s in c.slices.values() for part in s.parts]:
        if part.owner is None or len(part.slice.parts) > 1 and part.owner.doubtful:
            place(c, part)


def plan(c: CoordinatorState) -> None:
    """The design's greedy planner: whole slices, busiest to least loaded, for positive gain only."""
    opened = sorted(c.opened(), key=lambda b: b.id)
    mean = mean_use(c, opened)
    if len(opened) < 2 or mean <= 0:
        return
    for b in opened:
        b.intake = 0
    if not c.boot.get("exclusive"):  # there a slice has one line
        split(c, opened, mean)
    uses = [b.use() / mean for b in opened]
    c.balancing |= max(uses) > 1.25 or min(uses) < 1 / 1.25  # membership triggers too (PAPER)
    # A thirtieth of the slices in charge (more did worse), and one for each new backend still empty.
    idle = sum(not b.parts and b.warmth < 1 for b in opened)
    for _ in range(max(2, len(c.slices) // 30 + idle // c.many)):
        by_use = sorted(opened, key=Backend.use)
        best = next(
            filter(None, (best_move(c, b, by_use, mean) for b in reversed(by_use) if b.use() > 1.10 * mean)),
            None,
        )
        c.balancing &= best is not None and (by_use[-1].use() > 1.10 * mean or by_use[0].use() < mean / 1.10)
        if not c.balancing:
            break
        move(c, *best)


def split(c: CoordinatorState, opened: list[Backend], mean: float) -> None:
    """A slice that outweighs four fifths of a whole backend's target is dealt out in parts meanwhile."""
    target = mean * sum(b.capacity for b in opened) / len(opened) * c.many**0.5  # by the root: fleet.md
    for s in c.slices.values():
        parts = len(s.parts)
        if s.load > 0.8 * target * parts and parts < min(4, len(opened)):
            s.parts.append(Assignment(s, None))
            place(c, s.parts[-1])
        elif parts > 1 and s.load < 0.48 * target * (parts - 1):
            last = max(s.parts, key=lambda p: p.owner.use() if p.owner else float("inf"))
            last.go_to(None)
            s.parts.remove(last)
        else:
            continue
        c.log(f"slice {s.number} in {len(s.parts)} parts: asks for {s.load / target:.1f} backends")
    for b in opened:
        b.load = sum(p.load for p in b.parts)


def best_move(
    c: CoordinatorState, source: Backend, by_use: list[Backend], mean: float
) -> tuple[Assignment, Backend] | None:
    # The two have to lie apart by a quarter of what a backend gets from all.  Any gain while many tries fail.
    apart = 0.0 if c.troubled() else 0.25 * c.many * mean * source.weight
    best, most = None, 0.0
    for part in sorted(source.parts, key=lambda p: p.slice.number):
        load, others = part.load, part.slice.owners()
        to = next(
            (
                b
                for b in by_use
                if b not in others
                and not b.doubtful
                and may_take(c, b, part.slice, mean)
                and b.load + load <= 1.25 * mean * b.capacity
            ),
            None,
        )
        if to is None or part.rests_until > c.now:
            continue
        over, under = source.load - mean * source.capacity, to.load - mean * to.capacity
        gain = over**2 + under**2 - (over - load) ** 2 - (under + load) ** 2
        if gain > max(most, 2 * load * apart):
            best, most = (part, to), gain
    return best
