"""The directives of batches: electricity prices by site, classes of batches, and who runs their pieces.

    edition 3
    batch-slot 15m
    site eros zone Europe/Berlin holidays DE-BE
    lanes eros std 8
    band eros workday 06:00-22:00 24.5
    band eros any 00:00-24:00 18.2
    peak eros 40kW surcharge 12
    batch-class dunning non-idempotent path /dunning/{piece}/{step} power std=300W pause 0.4 seats geocoder=1
    prices /var/lib/indigohitch/prices.txt
    runs eros std 4 to 127.0.0.1:8080

Prices are in cents per kWh, times in the site's zone; the first matching band applies.  `runs` sets how many
pieces this member runs at a time on nodes of a kind, and where their RPCs go (default: its own sidecar).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..net.clock import SECOND
from ..net.connection import parse_address
from . import words
from .fleet import FleetText
from .lines import Reader, Vocabulary
from .tariffs import country, days, hours, names, pairs, power, price, zone


@dataclass(slots=True)
class BandText:
    """A `band` line: the price of electricity on some days between two times of the day."""

    days: tuple[str, ...]  # empty: any day
    begin: int  # tenths of a ms since local midnight
    end: int
    price: int  # thousandths of a cent
    line: int


@dataclass(slots=True)
class SiteText:
    """A site with its time zone, lanes and tariff."""

    name: str
    zone: str
    holidays: str
    line: int
    lanes: dict[str, int] = field(default_factory=dict)  # by kind of node
    bands: list[BandText] = field(default_factory=list)
    peak: int = 0  # watts
    surcharge: int = 0  # thousandths of a cent


@dataclass(slots=True)
class ClassText:
    """A `batch-class` line; `power` in watts and `seats` by feature, `pause` in thousandths of a cent."""

    name: str
    idempotent: bool
    path: str
    power: dict[str, int]
    pause: int
    seats: dict[str, int]
    sites: tuple[str, ...]
    line: int


@dataclass(slots=True)
class RunsText:
    """A `runs` line; `to` is None if it names no address and this process has no sidecar."""

    site: str
    kind: str
    lanes: int
    to: tuple[str, int] | None
    line: int


@dataclass(slots=True)
class BatchesText:
    """The batches of a file; `line` is the first line about them, `slot` in tenths of a millisecond."""

    sites: dict[str, SiteText] = field(default_factory=dict)
    classes: dict[str, ClassText] = field(default_factory=dict)
    runs: list[RunsText] = field(default_factory=list)
    slot: int = 900 * SECOND
    prices: str = ""
    line: int = 0


SITE = {"zone": zone, "holidays": country}


def rpc_path(text: str) -> str:
    """Checks a path whose `{piece}` and `{step}` are replaced in each RPC, and returns it unchanged."""
    without_placeholders = words.path(text).replace("{piece}", "").replace("{step}", "")
    if set(without_placeholders) & set("{}") or not text.isprintable() or " " in text:
        raise ValueError(f"{text!r}: a path without blanks is wanted; {{piece}} and {{step}} are filled in")
    return text


CLASS = {"path": rpc_path, "power": pairs(power), "pause": price, "seats": pairs(words.count), "sites": names}


def text_of(reader: Reader, line: int) -> BatchesText:
    """Returns the batches collected so far and notes the first line about them."""
    text = reader.collected(BatchesText)
    text.line = text.line or line
    return text


def site_of(reader: Reader, line: int, name: str) -> SiteText:
    """Returns a site by name; raises ValueError if no line declares it."""
    sites = text_of(reader, line).sites
    if name not in sites:
        raise ValueError(f"no site {name}; a line `site {name}` is wanted")
    return sites[name]


def on_site(line: int, rest: list[str], reader: Reader) -> None:
    name = reader.parse("site", words.name, rest[0] if rest else "")
    reader.declare(line, "site", name)
    options = reader.options(line, rest[1:], SITE)
    if "zone" not in options:
        reader.report(line, f"site {name}: no zone is named")
    text_of(reader, line).sites[name] = SiteText(
        name, options.get("zone", "UTC"), options.get("holidays", ""), line
    )


def on_lanes(line: int, rest: list[str], reader: Reader) -> None:
    if len(rest) != 3:
        raise ValueError("lanes SITE KIND NUMBER")
    reader.declare(line, "lanes", f"{rest[0]} {rest[1]}")
    lanes = reader.parse("lanes", words.count, rest[2])
    site_of(reader, line, rest[0]).lanes[reader.parse("lanes", words.name, rest[1])] = lanes


def on_band(line: int, rest: list[str], reader: Reader) -> None:
    if len(rest) != 4:
        raise ValueError("band SITE DAYS FROM-TO CENTS")
    period = reader.parse("band", hours, rest[2])
    band = BandText(reader.parse("band", days, rest[1]), *period, reader.parse("band", price, rest[3]), line)
    site_of(reader, line, rest[0]).bands.append(band)


def on_peak(line: int, rest: list[str], reader: Reader) -> None:
    if len(rest) != 4 or rest[2] != "surcharge":
        raise ValueError("peak SITE POWER surcharge CENTS")
    reader.declare(line, "peak", rest[0])
    site = site_of(reader, line, rest[0])
    site.peak = reader.parse("peak", power, rest[1])
    site.surcharge = reader.parse("surcharge", price, rest[3])
    if site.surcharge <= 0:
        raise ValueError("a peak has no effect without a surcharge above 0")


def on_class(line: int, rest: list[str], reader: Reader) -> None:
    if len(rest) < 2 or rest[1] not in ("idempotent", "non-idempotent"):
        raise ValueError("batch-class NAME idempotent|non-idempotent ...")
    name = reader.parse("batch-class", words.name, rest[0])
    reader.declare(line, "batch-class", name)
    options = reader.options(line, rest[2:], CLASS)
    for wanted in ("path", "power"):
        if wanted not in options and wanted not in rest[2::2]:  # a value with a mistake is reported already
            reader.report(line, f"batch-class {name}: no {wanted}")
    if options.get("pause", 0) < 0:
        reader.report(line, f"batch-class {name}: the price of a pause can't be below 0")
    text_of(reader, line).classes[name] = ClassText(
        name,
        rest[1] == "idempotent",
        options.get("path", "/"),
        options.get("power", {}),
        options.get("pause", 0),
        options.get("seats", {}),
        options.get("sites", ()),
        line,
    )


def on_runs(line: int, rest: list[str], reader: Reader) -> None:
    if len(rest) not in (3, 5) or rest[3:4] not in ([], ["to"]):
        raise ValueError("runs SITE KIND LANES [to HOST:PORT]")
    reader.declare(line, "runs", f"{rest[0]} {rest[1]}")
    to = reader.parse("runs", parse_address, rest[4]) if len(rest) == 5 else None
    text_of(reader, line).runs.append(
        RunsText(
            reader.parse("runs", words.name, rest[0]),
            reader.parse("runs", words.name, rest[1]),
            reader.parse("runs", words.count, rest[2]),
            to,
            line,
        )
    )


SINGLE = {"batch-slot": (words.span, 900 * SECOND), "prices": (words.path, "")}


def check(reader: Reader) -> None:
    """Stores the single values and checks the lines against each other and the fleet's own."""
    text, fleet = reader.collected(BatchesText), reader.collected(FleetText)
    options = reader.values_of("directive", SINGLE)
    text.slot, text.prices = options["batch-slot"], options["prices"]
    if not text.line:
        return
    if not fleet.line:
        reader.report(text.line, "batches without a line `fleet`")
    lines = [one.line for one in (*text.sites.values(), *text.classes.values())]
    if lines and ("directive", "edition") not in reader.first_lines:
        reader.report(min(lines), "a contract without a line `edition`, which numbers what is contracted")
    valid_slot = text.slot >= SECOND and not text.slot % SECOND and not 3600 * SECOND % text.slot
    if not valid_slot:
        reader.report(
            reader.first_lines["directive", "batch-slot"],
            "a slot of whole seconds that divides the hour is wanted, as 15m",
        )
    for site in text.sites.values():
        if not site.lanes:
            reader.report(site.line, f"site {site.name}: no line `lanes` says how many pieces run there")
        for band in site.bands:
            if valid_slot and (band.begin % text.slot or band.end % text.slot):
                reader.report(band.line, f"site {site.name}: a band does not begin and end with a slot")
    kinds = {kind for site in text.sites.values() for kind in site.lanes}
    for one in text.classes.values():
        if one.power and not kinds & set(one.power):
            reader.report(one.line, f"batch-class {one.name}: no site has nodes of its kinds")
        for name in one.sites:
            if name not in text.sites:
                reader.report(one.line, f"batch-class {one.name}: no site {name}")
        for feature in one.seats:
            if ("seats", feature) not in reader.first_lines:
                reader.report(one.line, f"batch-class {one.name}: no line `seats {feature}` contracts any")
    for run in text.runs:
        run.to = run.to or reader.given["directive"].get("listen")
        if run.to is None:
            reader.report(run.line, "no sidecar is in this process: `to HOST:PORT` is wanted")
        site = text.sites.get(run.site)
        if text.sites and (site is None or run.kind not in site.lanes):  # else another file has the sites
            reader.report(run.line, f"no lanes of {run.kind} at {run.site}")
    fleet.parts["batches"] = [text]


VOCABULARY = Vocabulary(
    {"site": on_site},
    {"lanes": on_lanes, "band": on_band, "peak": on_peak, "batch-class": on_class, "runs": on_runs},
    (check,),
    SINGLE,
)
