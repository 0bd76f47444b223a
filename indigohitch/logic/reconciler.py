"""What is wanted against what is out: the difference as orders, in the channel's room."""

from .. import interface as face
from .ownership_transfer import in_steps
from .state import DEPARTING_STATES, Backend, CoordinatorState, Slice


def wanted_level(s: Slice) -> float:
    return round(5 * min((b.admit for b in s.owners()), default=1.0)) / 5  # in fifths: fewer lines


def wanted(s: Slice) -> dict[Backend, float]:
    return dict.fromkeys(s.owners(), 1.0)


def pressed(s: Slice) -> int | None:
    """Since when it is closed, has no line, or one at a backend that leaves or too many at a cold one."""
    if s.closed is not None:
        return s.since
    return min(
        (
            max(b.told, s.since)
            for b in s.stored
            if b.state in DEPARTING_STATES or b.warmth < 1 and b not in s.owners()
        ),
        default=None if s.stored else s.since,
    )


def emit(c: CoordinatorState) -> None:
    """What should be out, held or timed against what is: the difference, its urgent part first."""
    if c.timer != c.next_beat:
        c.timer = c.next_beat
        c.orders.append(face.SetTimer(c.timer, "beat"))
    c.orders += [face.WatchBackends(True)] * c.asking
    for b in c.probing:
        b.probe_out = c.now
        c.orders.append(face.ProbeBackend(b.id))
    c.asking, c.probing = False, []
    must, ailing, ordinary = [], [], []
    for s in c.slices.values():
        if (wanted(s) != s.stored or s.closed is not None) and delta(c, s):
            ails = any(b.doubtful for b in s.stored if b not in s.owners())
            (must if pressed(s) is not None else ailing if ails else ordinary).append(s)
    must.sort(key=pressed)
    c.held = bool(must) or any(s.closed is not None for s in c.slices.values())
    # A level of 1 lets all in as a share; where levels are rates it would not, and none is set.
    fresh = c.boot.get("admission") != "rate" and any(p not in c.levels_sent for p in c.proxies)
    ordinary.sort(key=lambda s: -max(b.use() for b in s.stored))
    many = len(ordinary) if c.troubled() else max(6, len(ordinary) // 3)  # a third each second beat
    back = [b for b in c.backends.values() if b in c.withdrawn and b.state == "ready"]
    urgent = bool(must or back)
    turn, trim = (
        (ordinary[:many], [s for s in c.slices.values() if wanted_level(s) != s.level])
        if not urgent and (c.beats % 2 == 0 or ailing)
        else ([], [])
    )
    if urgent or ailing or turn or fresh or trim:
        push(c, must + ailing + turn, trim, fresh, urgent, back)


def delta(c: CoordinatorState, s: Slice) -> list[face.Order]:
    want = wanted(s)
    return in_steps(
        c,
        s,
        [face.SetRoute(s.number, b.id, w) for b, w in want.items() if s.stored.get(b) != w]
        + [face.SetRoute(s.number, b.id, 0.0) for b in s.stored if b not in want],
    )


def push(
    c: CoordinatorState,
    changed: list[Slice],
    trimmed: list[Slice],
    levels: bool,
    urgent: bool,
    back: list[Backend],
) -> None:
    deltas = [delta(c, s) for s in changed]
    need = sum(map(len, deltas)) + len(trimmed) + len(back)
    room = c.channel.room(c.now, len(c.proxies), urgent, need, c.troubled()) - len(back)
    if room <= 0:
        return
    c.orders += [face.EjectBackend(b.id, False) for b in back]
    c.withdrawn.difference_update(back)
    c.returned.update(back)
    if levels:
        c.orders.append(face.SetAdmission(face.ALL_TABLES, (), 1.0, 1))  # further tries after proof only
        c.levels_sent = set(c.proxies)
    # Where lines at a drain can't be out within its grace, its backend is shut out, one line each.
    over = (
        c.now
        + (c.channel.backlog + need * len(c.proxies)) / c.channel.pace()
        + c.boot.get("transit_most", 0)
        - c.boot.get("drain_grace", face.SECOND)
    )
    shut = {
        b: None
        for s in changed
        for b in s.stored
        if b.state in DEPARTING_STATES and b not in c.withdrawn - c.returned and over > max(b.told, s.since)
    }
    lines, left, closed = 0, set(), []
    for s, change in zip(changed, deltas):
        if lines + len(change) <= room - len(shut):
            c.orders += change
            lines += len(change)
            if wanted(s) != s.stored and c.boot.get("exclusive") and s.stored and len(change) == 1:
                s.closed, s.closed_at, s.quiet = getattr(change[0], "methods", ()), c.now, 0
                closed.append(s)
            else:
                s.stored, s.closed = wanted(s), None
        else:
            left.update(s.stored)
    shut = [b for b in shut if b in left][: room - lines]
    c.orders += [face.EjectBackend(b.id, True) for b in shut]
    c.withdrawn, c.returned = c.withdrawn.union(shut), c.returned.difference(shut)
    for s in (trimmed := [s for s in trimmed if s.closed is None][: room - lines - len(shut)]):
        s.level = wanted_level(s)
        c.orders.append(face.SetAdmission(s.number, (), s.level, 1))
    lines += len(back) + len(shut) + len(trimmed)
    c.orders.append(face.UpdateMarker(c.channel.send(c.now, lines, c.proxies), False))
    for s in closed:
        s.mark = c.channel.mark
