"""The tables of docs/CAPACITY.md: roles, conditions, counts."""

from __future__ import annotations

from . import givens, roles

NOT_YET = "no slope measured"
SAME = "same"  # in every condition


def number(value: float) -> str:
    """To three digits that count, thousands set apart."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        digits = len(str(int(abs(value))))
        return f"{round(value, min(0, 3 - digits)):,.0f}"
    return f"{value:.3g}"


def shown(value: float, budget: str) -> str:
    text = number(value)
    return f"**{text}**" if budget and value > givens.BUDGETS[budget][0] else text


def role_table(role: roles.Role, values: roles.Values) -> list[str]:
    heads = " | ".join(condition.name for condition in givens.CONDITIONS)
    lines = [
        f"### {role.name}",
        "",
        f"State: {role.state}. Carried by {role.modules}.",
        "",
        f"| figure | {heads} | budget | later carried by | formula |",
        "| --- |" + " --- |" * (len(givens.CONDITIONS) + 3),
    ]
    return lines + [figure_row(figure, values) for figure in role.figures] + [""]


def figure_row(figure: roles.Figure, values: roles.Values) -> str:
    budget = givens.BUDGETS[figure.budget][1] if figure.budget else ""
    if not figure.formula:
        cells = [NOT_YET] + [""] * (len(givens.CONDITIONS) - 1)
        return f"| {figure.what} | {' | '.join(cells)} | {budget} | | |"
    found = [values.value(figure.formula, condition) for condition in givens.CONDITIONS]
    cells = [shown(value, figure.budget) for value in found]
    over = any(cell.startswith("**") for cell in cells)
    if len(set(cells)) == 1:
        cells[1:] = [SAME] * (len(cells) - 1)
    later = figure.later if over else ""
    return f"| {figure.what} | {' | '.join(cells)} | {budget} | {later} | `{figure.formula}` |"


def given_table(rows: tuple[givens.Given, ...]) -> list[str]:
    lines = ["| name | value | what it is |", "| --- | --- | --- |"]
    return lines + [f"| `{one.name}` | {one.value:,} | {one.meaning} |" for one in rows] + [""]


def condition_table(values: roles.Values) -> list[str]:
    lines = [
        "| condition | changes a second | coordinators back a second | formulas |",
        "| --- | --- | --- | --- |",
    ]
    for one in givens.CONDITIONS:
        changes, back = (values.value(name, one) for name in ("changes", "back"))
        lines.append(f"| {one.name} | {number(changes)} | {number(back)} | `{one.changes}`; `{one.back}` |")
    return lines + [""]
