"""The slopes as a picture: measured points, the fit, and the size held back."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

PANELS = (
    ("cpu_pct", "module: % of a core"),
    ("turn_ms_longest", "module: longest turn, ms"),
    ("plan_ms", "module: planning, ms a round"),
    ("leader_beat_ms", "ledger leader: ms a beat of 50 ms"),
    ("round_ms", "leases and seats: ms a round of 0.5 s"),
    ("say_ms", "links: ms to say one word to all"),
)


def draw(rows: Sequence[dict], path: Path) -> None:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "capacity"
    from matplotlib import pyplot

    figure, grid = pyplot.subplots(2, 3, figsize=(13, 7))
    for axes, (name, title) in zip(grid.flat, PANELS):
        for one in rows:
            if name in one["figures"]:
                curve(axes, one, one["figures"][name])
        axes.set(title=title, xscale="log", yscale="log")
        if axes.lines:
            axes.legend(fontsize=6)
        axes.grid(alpha=0.3)
    figure.suptitle("filled: made the fit; open: held back; dashed: the fit")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def curve(axes, one: dict, found: dict) -> None:
    sizes = sorted(map(int, found["points"]))
    fitted = [size for size in sizes if size != one["held_back"]]
    exponent = found["exponent"]
    label = f"{one['name']} / {one['grows']}" + (f": {exponent:.2f}" if exponent is not None else "")
    drawn = axes.plot(fitted, [found["points"][str(size)] for size in fitted], "o", label=label, markersize=4)
    colour = drawn[0].get_color()
    axes.plot(
        [one["held_back"]],
        [found["points"][str(one["held_back"])]],
        "o",
        color=colour,
        fillstyle="none",
        markersize=7,
    )
    if exponent is not None:
        axes.plot(
            sizes,
            [found["coefficient"] * size**exponent for size in sizes],
            "--",
            color=colour,
            linewidth=0.8,
        )
