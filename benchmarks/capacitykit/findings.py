"""What the figures say: how much one process takes, how the answer moves with each assumption, the first look
against what was measured, and the slopes."""

from __future__ import annotations

from . import givens, roles
from .costs import Costs
from .tables import number

WEIGHED = "Option weighed"  # how the name of a role begins that nobody has: it is only compared
ORDINARY = givens.CONDITIONS[0]
# What an assumption moves: role, figure, and the condition looked at.
WATCHED = (
    ("Coordinator on the platform, told only", "module, % of a core", 0),
    ("Coordinator on the platform, told only", "module, % of a core", 1),
    ("Sidecar's coordinator", "module, % of a core", 0),
    ("Ledger's leader", "entries, % of a core", 0),
    ("Ledger voter", "leader, % of a core", 0),
    ("Distributor", "changes told, a second", 1),
    ("Licence seats' planner", "rounds with 5,500 tenants, 50 members, % of a core", 0),
)
# What was measured by hand before: what, at which size, then, and the formula of what is measured now.
FIRST_LOOK = (
    (
        "232 slices, all backends held: % of a core",
        "200 backends",
        0.6,
        "cost('module, 232 slices', 'cpu_pct', 200)",
    ),
    ("", "1,000 backends", 9.7, "cost('module, 232 slices', 'cpu_pct', 1000)"),
    ("", "5,000 backends", 83, "cost('module, 232 slices', 'cpu_pct', 5000)"),
    ("longest turn, ms", "200 backends", 13, "cost('module, 232 slices', 'turn_ms_longest', 200)"),
    ("", "1,000 backends", 498, "cost('module, 232 slices', 'turn_ms_longest', 1000)"),
    ("", "5,000 backends", 3674, "cost('module, 232 slices', 'turn_ms_longest', 5000)"),
    (
        "5 slices, all backends held: % of a core",
        "28,000 backends",
        42,
        "cost('module, 5 slices', 'cpu_pct', 28000)",
    ),
    (
        "memory beside the program, MB (then: in all)",
        "28,000 backends",
        78,
        "cost('module, 5 slices', 'memory_mb', 28000)",
    ),
    (
        "200 backends (now 350): % of a core",
        "232 slices",
        0.6,
        "cost('module, 350 backends', 'cpu_pct', 232)",
    ),
    ("", "1,000 slices (now 928)", 0.9, "cost('module, 350 backends', 'cpu_pct', 928)"),
    (
        "ledger's leader, machine alone: ms a beat",
        "650 followers",
        3.8,
        "cost('ledger', 'leader_beat_machine_ms', 650)",
    ),
    ("", "6,500 followers", 290, "cost('ledger', 'leader_beat_machine_ms', 6500)"),
)
# How much of a count one process takes within a budget: what, the count, its cost, the budget, what it is.
BOUNDS = (
    (
        "all backends held, 5 slices",
        "backends",
        "cost('module, 5 slices', 'cpu_pct', {})",
        4.0,
        "4 % of a core",
    ),
    (
        "all backends held, 232 slices",
        "backends",
        "cost('module, 232 slices', 'cpu_pct', {})",
        4.0,
        "4 % of a core",
    ),
    (
        "only its part held, 5 slices",
        "backends",
        "cost('module, scoped', 'cpu_pct', {})",
        4.0,
        "4 % of a core",
    ),
    ("350 backends held", "slices", "cost('module, 350 backends', 'cpu_pct', {})", 4.0, "4 % of a core"),
    (
        "ledger's leader, beats alone",
        "followers",
        "20 * cost('ledger', 'leader_beat_ms', {}) / 10",
        100.0,
        "a core",
    ),
    ("leases alone", "members", "2 * cost('leases', 'round_ms', {}) / 10", 100.0, "a core"),
    (
        "rounds of seats alone, 8 tenants",
        "members",
        "2 * cost('seats', 'round_ms', {}) / 10",
        100.0,
        "a core",
    ),
    ("idle links", "connections", "cost('links', 'idle_pct', {})", 4.0, "4 % of a core"),
)


def moved_table(costs: Costs, page: roles.Page) -> list[str]:
    """Each assumption at half and at twice its value; only what moves by a tenth or more."""
    lines = ["| assumption | halved, doubled | moves | from | to |", "| --- | --- | --- | --- | --- |"]
    for given in givens.ASSUMED:
        for name, what, which in WATCHED:
            figure, condition = page.role(name).figure(what), givens.CONDITIONS[which]
            low, now, high = (
                moved(costs, page, given.name, min(given.most, given.value * factor)).value(
                    figure.formula, condition
                )
                for factor in (0.5, 1, 2)
            )
            if max(low, high) > 1.1 * now or min(low, high) < now / 1.1:
                where = f"{page.role(name).name.split(',')[0]}: {what}, {condition.name}"
                halves = f"{given.value / 2:g}, {min(given.most, given.value * 2):g}"
                lines.append(
                    f"| `{given.name}` | {halves} | {where} | {number(now)} | {number(low)}, {number(high)} |"
                )
    return lines + [""]


def moved(costs: Costs, page: roles.Page, name: str, value: float) -> roles.Values:
    """With services reached, the backends of these move too."""
    changed = {name: value}
    if name == "services_reached":
        changed["backends_reached"] = givens.names()["backends"] / givens.names()["services"] * value
    return roles.Values(costs, page, changed)


def over_table(values: roles.Values) -> list[str]:
    """All that is over its budget in some condition, the furthest first."""
    found = []
    for role in values.page.roles:
        for figure in role.figures if not role.name.startswith(WEIGHED) else ():
            if figure.formula and figure.budget:
                found.append(furthest(role, figure, values))
    found = sorted((one for one in found if one[0] > 1), key=lambda one: -one[0])
    lines = ["| times over | role: figure | value, and when | budget | carried later by |"]
    lines.append("| --- | --- | --- | --- | --- |")
    for times, where, value, budget, later in found:
        lines.append(f"| {number(times)} | {where} | **{number(value)}**, {budget} | {later} |")
    return lines + [""]


def furthest(
    role: roles.Role, figure: roles.Figure, values: roles.Values
) -> tuple[float, str, float, str, str]:
    """In the condition in which it is furthest over its budget, or nearest to it."""
    most, words = givens.BUDGETS[figure.budget]
    value, condition = max(
        ((values.value(figure.formula, one), one) for one in givens.CONDITIONS), key=lambda pair: pair[0]
    )
    where = f"{role.name}: {figure.what}"
    return value / most, where, value, f"{condition.name} | {words}", figure.later


def bound_table(values: roles.Values) -> list[str]:
    lines = ["| one process | within | takes up to | wanted |", "| --- | --- | --- | --- |"]
    wanted = {"backends": "28,000", "followers": "6,500", "members": "6,500", "connections": "6,499"}
    for what, count, cost, most, words in BOUNDS:
        found = largest(lambda size, cost=cost: values.value(cost.format(size), ORDINARY), most)
        lines.append(f"| {what} | {words} | {number(found)} {count} | {wanted.get(count, '5 to 406')} |")
    return lines + [""]


def first_look_table(values: roles.Values) -> list[str]:
    lines = ["| what | size | first look | measured now |", "| --- | --- | --- | --- |"]
    for what, size, before, formula in FIRST_LOOK:
        lines.append(f"| {what} | {size} | {number(before)} | {number(values.value(formula, ORDINARY))} |")
    return lines + [""]


def largest(cost, most: float) -> float:
    """The largest count with a cost of at most `most`, for a cost that grows."""
    low, high = 1.0, 1e6
    for _ in range(60):
        middle = (low * high) ** 0.5
        low, high = (middle, high) if cost(middle) <= most else (low, middle)
    return low


def slope_table(rows: list[dict]) -> list[str]:
    lines = [
        "| series / count | figure | exponent | last two sizes | held back at | predicted | measured | off |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        for name, found in row["figures"].items():
            if found["exponent"] is not None:
                exponent = f"{found['exponent']:.2f} ± {found['spread']:.2f}"
                lines.append(
                    f"| {row['name']} / {row['grows']} | `{name}` | {exponent} "
                    f"| {found['last']:.2f} | {row['held_back']:,} | {number(found['predicted'])} "
                    f"| {number(found['measured'])} | {found['off']:.2f} |"
                )
    return lines + [""]
