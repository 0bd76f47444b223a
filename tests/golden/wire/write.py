"""Writes the golden files beside it: `python tests/golden/wire/write.py`.  The cases are in the
given*.py beside it.

It writes only files that do not exist: a golden file never changes once it is committed."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parents[1]), str(HERE.parents[2])]

import given  # noqa: E402
import given_platform  # noqa: E402
import given_settings  # noqa: E402

import golden_bench  # noqa: E402
import golden_log  # noqa: E402
import golden_platform  # noqa: E402
import golden_settings  # noqa: E402
import golden_told  # noqa: E402
from golden_wire import text  # noqa: E402

FILES = {
    "bench_in.jsonl": (golden_bench.line_in, given.BENCH_IN),
    "bench_out.jsonl": (golden_bench.order_out, given.BENCH_OUT),
    "bench_talks.jsonl": (golden_bench.talk, given.BENCH_TALKS),
    "collectors.jsonl": (golden_platform.collector, given_platform.COLLECTORS),
    "relay_stream.jsonl": (golden_platform.stream, given_platform.STREAMS),
    "relay_calls.jsonl": (golden_platform.call, given_platform.CALLS),
    "relay_answers.jsonl": (golden_platform.answer, given_platform.ANSWERS),
    "registry_lists.jsonl": (golden_platform.registry, given_platform.LISTS),
    "probes.jsonl": (golden_platform.probe, given_platform.PROBES),
    "requests.jsonl": (golden_platform.requests, given_platform.REQUESTS),
    "settings.jsonl": (golden_settings.settings, given_settings.SETTINGS),
    "load_reports.jsonl": (golden_settings.load, given_settings.LOADS),
    "configuration.jsonl": (golden_settings.configuration, given_settings.CONFIGURATIONS),
    "log_lines.jsonl": (golden_log.lines, given.LOG_LINES),
    "log_jobs.jsonl": (golden_log.job, given.LOG_JOBS),
    "log_callers.jsonl": (golden_told.callers, given_platform.COLLECTORS),
    "log_errors.jsonl": (golden_told.error, given.ERRORS),
    "log_words.jsonl": (golden_told.enumeration, given.ENUMERATIONS),
}


def write(name: str, rows: list) -> None:
    """A new file; one that exists stays as it is."""
    path = HERE / name
    if path.exists():
        print(f"{name}: exists, not written")
        return
    path.write_text("".join(f"{text(row)}\n" for row in rows), "ascii")
    print(f"{name}: {len(rows)} lines")


def main() -> None:
    for name, (function, cases) in FILES.items():
        write(name, [{"given": one, "gives": function(one)} for one in cases])
    write("log_events.jsonl", golden_log.told_by_source())
    write("log_counters.jsonl", golden_log.counted_by_source())


if __name__ == "__main__":
    main()
