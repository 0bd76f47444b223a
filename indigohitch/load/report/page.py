"""One HTML page with its plots inside, of one replay or of two side by side."""

from __future__ import annotations

import html
import io

import matplotlib

matplotlib.use("svg")  # no display is needed, and none is asked for
from matplotlib import pyplot  # noqa: E402

from ..entry import SECOND  # noqa: E402
from ..replay.figures import PARTS, Figures, histogram  # noqa: E402
from .text import text  # noqa: E402

WIDE, HIGH = 9.0, 3.0  # inches of a plot: one fits the width of a laptop's window
PERCENTILES = (50, 90, 99, 99.9)
STYLE = (
    "body{font:14px sans-serif;max-width:60em;margin:2em auto}td,th{padding:0 1em;text-align:right}"
    "svg{width:100%}"
)


def svg(figure) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight")
    pyplot.close(figure)
    return out.getvalue()[out.getvalue().index("<svg") :]


def rates(runs: list[tuple[str, Figures]]) -> str:
    """Asked and sent a second, by RPC, in each part of the schedule."""
    figure, axes = pyplot.subplots(figsize=(WIDE, HIGH))
    for name, f in runs:
        width = f.span / PARTS / SECOND
        at = [(n + 0.5) * width for n in range(PARTS)]
        for rpc, asked in sorted(f.asked.items()):
            (line,) = axes.plot(at, [n / width for n in asked], "--", lw=1)
            axes.plot(at, [n / width for n in f.sent[rpc]], color=line.get_color(), label=f"{name} {rpc}")
    axes.set(xlabel="s", ylabel="requests a second", title="asked (dashed) and sent")
    axes.legend(fontsize=7)
    return svg(figure)


def over_time(runs: list[tuple[str, Figures]]) -> str:
    figure, axes = pyplot.subplots(figsize=(WIDE, HIGH))
    for name, f in runs:
        seconds = sorted(f.over_time)
        for p in PERCENTILES[:3]:
            axes.plot(
                seconds,
                [f.over_time[s].get_value_at_percentile(p) / 10 for s in seconds],
                lw=1,
                label=f"{name} p{p}",
            )
    axes.set(xlabel="s", ylabel="ms", yscale="log", title="latency from the time a request was due")
    axes.legend(fontsize=7)
    return svg(figure)


def percentiles(runs: list[tuple[str, Figures]]) -> str:
    """Latency by RPC, and lateness, against the percentile."""
    figure, axes = pyplot.subplots(figsize=(WIDE, HIGH))
    nines = [1 - 10 ** -(n / 10) for n in range(1, 40)]
    at = [n / 10 for n in range(1, 40)]
    for name, f in runs:
        for rpc, h in sorted(f.took.items()):
            axes.plot(at, [h.get_value_at_percentile(100 * p) / 10 for p in nines], label=f"{name} {rpc}")
        late = [f.late.get_value_at_percentile(100 * p) / 10 for p in nines]
        axes.plot(at, late, ":", label=f"{name} late")
    axes.set(
        xticks=[1, 2, 3],
        xticklabels=["p90", "p99", "p99.9"],
        ylabel="ms",
        yscale="log",
        title="by percentile; dotted: how late requests were sent",
    )
    axes.legend(fontsize=7)
    return svg(figure)


def outcomes(runs: list[tuple[str, Figures]]) -> str:
    names = sorted({name for _, f in runs for name in f.status})
    rows = "".join(
        f"<tr><th>{html.escape(n)}</th>"
        + "".join(f"<td>{f.status.get(n, 0)}</td>" for _, f in runs)
        + "</tr>"
        for n in names
    )
    heads = "".join(f"<th>{html.escape(name)}</th>" for name, _ in runs)
    return f"<table><tr><th>outcome</th>{heads}</tr>{rows}</table>"


def whole(f: Figures):
    """All RPCs' latencies as one histogram."""
    found = histogram()
    for h in f.took.values():
        found.add(h)
    return found


def page(title: str, saved: list[tuple[str, dict]]) -> str:
    """`saved`: name, and what `replay --save` wrote, of one run or more."""
    runs = []
    for name, one in saved:
        f = Figures(one["figures"]["span"])
        f.add(one["figures"])
        runs.append((name, f))
    texts = "".join(
        f"<h2>{html.escape(name)}</h2><pre>{html.escape(text(f.told() | one['told']))}</pre>"
        for (name, f), (_, one) in zip(runs, saved)
    )
    if len(runs) == 2:
        one, two = (whole(f) for _, f in runs)
        rows = "".join(
            f"<tr><th>p{p}</th><td>{a / 10}</td><td>{b / 10}</td><td>{b / max(a, 1):.2f}</td></tr>"
            for p in PERCENTILES
            for a, b in [(one.get_value_at_percentile(p), two.get_value_at_percentile(p))]
        )
        texts += f"<table><tr><th>ms</th><th>first</th><th>second</th><th>ratio</th></tr>{rows}</table>"
    title = html.escape(title)
    return (
        f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style><h1>{title}</h1>"
        + texts
        + outcomes(runs)
        + rates(runs)
        + over_time(runs)
        + percentiles(runs)
    )
