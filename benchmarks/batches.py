"""Planning batches: time at 100, 1,000 and 10,000 pieces against running at once, and against scipy's milp on
small ones; then a model of 50 members and 2,000 nodes over two days, plotted:  make bench-batches

Times are of process time; what is made up is seeded.  `batches_model` tells what the model is."""

import json
import math
import random
import statistics
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from batches_model import MEMBERS, NODES, Model, day  # noqa: E402

from indigohitch.fleet.batches.placing import Field, Task  # noqa: E402
from indigohitch.fleet.batches.plan import Plan  # noqa: E402
from optimum import optimum  # noqa: E402

SIZES = (100, 1000, 10_000)


def values(rng, pieces, slots=192):
    """Lanes for a third of the slots that the pieces want, over four sites."""
    places = [(f"site{n}", "std") for n in range(4)]
    lanes = max(1, pieces * 6 * 3 // (slots * len(places)))
    prices = {place: day(rng, slots) for place in places}
    tasks = []
    for number in range(pieces):
        need, first = rng.randint(2, 10), rng.randrange(slots // 2)
        last = min(slots, first + need + rng.randint(8, 80))
        watts = rng.choice((150, 250, 400))
        tasks.append(
            Task(
                f"p{number:05}",
                first,
                last,
                need,
                {place: watts for place in sorted(rng.sample(places, rng.randint(1, 2)))},
                rng.choice((0, 500_000, 2_000_000)),
            )
        )
    return (
        slots,
        prices,
        {place: [lanes] * slots for place in places},
        {place[0]: (lanes * 250, 60_000) for place in places},
    ), tasks


def timed(action):
    began = time.process_time()
    found = action()
    return (time.process_time() - began) * 1000, found


def planning(pieces):
    given, tasks = values(random.Random(pieces), pieces)
    plan = Plan(Field(*given))
    once_ms, _ = timed(lambda: plan.at_once(tasks))
    once = plan.cost()
    looks, steps = [], plan.improvement_steps()

    def look():
        return next(steps, None)

    while True:
        ms, found = timed(look)
        if found is None:
            break
        looks.append(ms)
    return {
        "pieces": pieces,
        "at_once_ms": round(once_ms, 1),
        "settled_ms": round(once_ms + sum(looks)),
        "looks": len(looks),
        "look_ms_p50": round(statistics.median(looks), 3),
        "look_ms_max": round(max(looks), 1),
        "moves": plan.moves,
        "unplanned": len(plan.unplanned),
        "cost_of_at_once": round(plan.cost() / once, 3),
    }


def growth(cells, what):
    """Exponents between the sizes: 1 is linear."""
    return [round(math.log10(max(b[what], 0.1) / max(a[what], 0.1)), 2) for a, b in zip(cells, cells[1:])]


def against_milp(pieces, seed):
    given, tasks = values(random.Random(seed), pieces, 48)
    plan = Plan(Field(*given))
    plan.at_once(tasks)
    once = plan.cost()
    ms, _ = timed(plan.settle)
    milp_ms, best = timed(lambda: optimum(tasks, Field(*given), 60.0))
    return (
        None
        if best is None
        else {
            "pieces": pieces,
            "seed": seed,
            "greedy_ms": round(ms, 1),
            "milp_ms": round(milp_ms),
            "cost_of_best": round(plan.cost() / best, 4),
            "at_once_of_best": round(once / best, 3),
        }
    )


def drawn(model, once):
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "batches"
    from matplotlib import pyplot

    figure, (power, price) = pyplot.subplots(2, 1, figsize=(9, 5), sharex=True, height_ratios=(2, 1))
    hours = [at / 4 for at in range(len(model.power))]
    power.step(hours, [watts / 1000 for watts in once], label="at once", color="tab:gray")
    power.step(hours, [watts / 1000 for watts in model.power], label="as planned and run", color="tab:blue")
    power.set_ylabel("kW of batches")
    power.legend()
    price.step(hours, model.mean_prices(), color="tab:red")
    price.set_ylabel("cents a kWh")
    price.set_xlabel(f"hours; {MEMBERS} members, {NODES} nodes")
    figure.tight_layout()
    figure.savefig(ROOT / "docs" / "batches.svg", metadata={"Date": None})


def main(most):
    cells = []
    for n in SIZES[:most]:
        cells.append(planning(n))
        print(json.dumps(cells[-1]), flush=True)
    small = [found for n in (8, 12, 16) for seed in range(3) if (found := against_milp(n, seed))]
    print(json.dumps(small), flush=True)
    model = Model(28)
    began = time.process_time()
    while model.slot < model.slots:
        model.step()
    found = model.figures() | {"process_s": round(time.process_time() - began, 1)}
    print(json.dumps(found), flush=True)
    drawn(model, model.once)
    result = {
        "sizes": cells,
        "growth_at_once": growth(cells, "at_once_ms"),
        "growth_settled": growth(cells, "settled_ms"),
        "small": small,
        "model": found,
    }
    (ROOT / "benchmarks" / "results" / "batches.json").write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else len(SIZES))
