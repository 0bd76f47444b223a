"""The optimum of a small plan, by scipy's milp: for tests, proofs and benchmarks."""

import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp
from scipy.sparse import coo_array


def optimum(tasks, field, seconds=20.0):
    """Returns the least cost at which all `tasks` fit in an empty `field` (placing.Field).

    None if they don't all fit, or no optimum was proved within `seconds`.
    """
    cost, rows = [], []
    low, high = [], []

    def variable(coefficient=0.0):
        cost.append(coefficient)
        return len(cost) - 1

    def row(terms, lower, upper):
        rows.append(terms)
        low.append(lower)
        high.append(upper)

    lanes, drawn, seats = {}, {}, {}
    constant, integers = 0, []
    for task in tasks:
        picks = []
        constant -= task.pause
        for place in task.power:
            if place not in field.room:
                continue
            pick, last = variable(), None
            taken = []
            picks.append((pick, 1))
            integers.append(pick)
            for slot in range(task.first, task.last):
                in_slot = variable(field.prices[place][slot] * task.power[place])
                integers.append(in_slot)
                taken.append((in_slot, 1))
                begins = variable(task.pause)
                row([(begins, 1), (in_slot, -1), *([(last, 1)] if last is not None else [])], 0, np.inf)
                last = in_slot
                lanes.setdefault((place, slot), []).append((in_slot, 1))
                drawn.setdefault((place[0], slot), []).append((in_slot, task.power[place]))
                for feature, number in task.seats.items():
                    seats.setdefault((feature, slot), []).append((in_slot, number))
            row([*taken, (pick, -task.need)], 0, 0)
        row(picks, 1, 1)
    for (place, slot), terms in lanes.items():
        row(terms, 0, field.room[place][slot])
    for (feature, slot), terms in seats.items():
        if feature in field.seats:
            row(terms, 0, field.seats[feature][slot])
    for (site, _), terms in drawn.items():
        if site in field.peaks:
            peak, surcharge = field.peaks[site]
            over = variable(surcharge)
            row([*terms, (over, -1)], -np.inf, peak)
    row_index, column, value = zip(*((i, c, v) for i, terms in enumerate(rows) for c, v in terms))
    matrix = coo_array((value, (row_index, column)), shape=(len(rows), len(cost))).tocsr()
    integral, upper = np.zeros(len(cost)), np.full(len(cost), np.inf)
    integral[integers], upper[integers] = 1, 1
    scale = max(1.0, max(abs(c) for c in cost))
    result = milp(
        np.array(cost) / scale,
        constraints=LinearConstraint(matrix, low, high),
        integrality=integral,
        bounds=Bounds(0, upper),
        options={"time_limit": seconds, "mip_rel_gap": 1e-4},
    )
    return None if result.x is None or result.status else round(result.fun * scale) + constant
