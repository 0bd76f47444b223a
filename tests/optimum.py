"""The true optimum of a small plan, by scipy's milp: for tests, proofs and benchmarks."""

import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp
from scipy.sparse import coo_array


def optimum(tasks, field, seconds=20.0):
    """The least cost for which all `tasks` fit in an empty `field` (placing.Field); None if they don't, or
    none was proved in time."""
    cost, rows, low, high = [], [], [], []

    def variable(c=0.0):
        cost.append(c)
        return len(cost) - 1

    def row(terms, least, most):
        rows.append(terms)
        low.append(least)
        high.append(most)

    lanes, drawn, seats, constant, whole = {}, {}, {}, 0, []
    for task in tasks:
        picks = []
        constant -= task.pause
        for place in task.power:
            if place not in field.room:
                continue
            pick, last, taken = variable(), None, []
            picks.append((pick, 1))
            whole.append(pick)
            for at in range(task.first, task.last):
                x = variable(field.prices[place][at] * task.power[place])
                whole.append(x)
                taken.append((x, 1))
                begins = variable(task.pause)
                row([(begins, 1), (x, -1), *([(last, 1)] if last is not None else [])], 0, np.inf)
                last = x
                lanes.setdefault((place, at), []).append((x, 1))
                drawn.setdefault((place[0], at), []).append((x, task.power[place]))
                for feature, much in task.seats.items():
                    seats.setdefault((feature, at), []).append((x, much))
            row([*taken, (pick, -task.need)], 0, 0)
        row(picks, 1, 1)
    for (place, at), terms in lanes.items():
        row(terms, 0, field.room[place][at])
    for (feature, at), terms in seats.items():
        if feature in field.seats:
            row(terms, 0, field.seats[feature][at])
    for (site, _), terms in drawn.items():
        if site in field.peaks:
            peak, surcharge = field.peaks[site]
            over = variable(surcharge)
            row([*terms, (over, -1)], -np.inf, peak)
    where, column, value = zip(*((i, c, v) for i, terms in enumerate(rows) for c, v in terms))
    matrix = coo_array((value, (where, column)), shape=(len(rows), len(cost))).tocsr()
    integral, most = np.zeros(len(cost)), np.full(len(cost), np.inf)
    integral[whole], most[whole] = 1, 1
    scale = max(1.0, max(abs(c) for c in cost))
    got = milp(
        np.array(cost) / scale,
        constraints=LinearConstraint(matrix, low, high),
        integrality=integral,
        bounds=Bounds(0, most),
        options={"time_limit": seconds, "mip_rel_gap": 1e-4},
    )
    return None if got.x is None or got.status else round(got.fun * scale) + constant
