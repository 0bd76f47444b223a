"""The directives of batches: what electricity costs by site, the classes of batches, who runs their pieces.

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

Prices are in cents for a kWh, local times those of the site's zone; the first band that fits counts.  `runs`
tells how many pieces this member runs at a time on nodes of a kind, and to whom their RPCs go: without `to`
to the sidecar in this process."""

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
    days: tuple[str, ...]  # empty: any
    begin: int  # tenths of a ms on the day's clock
    end: int
    price: int  # thousandths of a cent
    line: int


@dataclass(slots=True)
class SiteText:
    name: str
    zone: str
    holidays: str
    line: int
    lanes: dict[str, int] = field(default_factory=dict)  # by kind of node
    bands: list[BandText] = field(default_factory=list)
    peak: int = 0  # watts
    surcharge: int = 0


@dataclass(slots=True)
class ClassText:
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
    site: str
    kind: str
    lanes: int
    to: tuple[str, int] | None
    line: int


@dataclass(slots=True)
class BatchesText:
    """What a file says of batches; `line`: where it first does."""

    sites: dict[str, SiteText] = field(default_factory=dict)
    classes: dict[str, ClassText] = field(default_factory=dict)
    runs: list[RunsText] = field(default_factory=list)
    slot: int = 900 * SECOND
    prices: str = ""
    line: int = 0


# ---- directives ------------------------------------------------------------------------------------


SITE = {"zone": zone, "holidays": country}


def filled(text: str) -> str:
    """A path whose `{piece}` and `{step}` are filled in for each RPC."""
    left = words.path(text).replace("{piece}", "").replace("{step}", "")
    if set(left) & set("{}") or not text.isprintable() or " " in text:
        raise ValueError(f"{text!r}: a path without blanks is wanted; {{piece}} and {{step}} are filled in")
    return text


CLASS = {"path": filled, "power": pairs(power), "pause": price, "seats": pairs(words.count), "sites": names}


def text_of(reader: Reader, at: int) -> BatchesText:
    text = reader.found(BatchesText)
    text.line = text.line or at
    return text


def site_of(reader: Reader, at: int, name: str) -> SiteText:
    sites = text_of(reader, at).sites
    if name not in sites:
        raise ValueError(f"no site {name}; a line `site {name}` is wanted")
    return sites[name]


def on_site(at: int, rest: list[str], reader: Reader) -> None:
    name = reader.told("site", words.name, rest[0] if rest else "")
    reader.once(at, "site", name)
    told = reader.options(at, rest[1:], SITE)
    if "zone" not in told:
        reader.wrong(at, f"site {name}: no zone is named")
    text_of(reader, at).sites[name] = SiteText(name, told.get("zone", "UTC"), told.get("holidays", ""), at)


def on_lanes(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) != 3:
        raise ValueError("lanes SITE KIND NUMBER")
    reader.once(at, "lanes", f"{rest[0]} {rest[1]}")
    lanes = reader.told("lanes", words.count, rest[2])
    site_of(reader, at, rest[0]).lanes[reader.told("lanes", words.name, rest[1])] = lanes


def on_band(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) != 4:
        raise ValueError("band SITE DAYS FROM-TO CENTS")
    span = reader.told("band", hours, rest[2])
    band = BandText(reader.told("band", days, rest[1]), *span, reader.told("band", price, rest[3]), at)
    site_of(reader, at, rest[0]).bands.append(band)


def on_peak(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) != 4 or rest[2] != "surcharge":
        raise ValueError("peak SITE POWER surcharge CENTS")
    reader.once(at, "peak", rest[0])
    site = site_of(reader, at, rest[0])
    site.peak, site.surcharge = reader.told("peak", power, rest[1]), reader.told("surcharge", price, rest[3])
    if site.surcharge <= 0:
        raise ValueError("a peak without a surcharge above 0 binds nothing")


def on_class(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) < 2 or rest[1] not in ("idempotent", "non-idempotent"):
        raise ValueError("batch-class NAME idempotent|non-idempotent ...")
    name = reader.told("batch-class", words.name, rest[0])
    reader.once(at, "batch-class", name)
    told = reader.options(at, rest[2:], CLASS)
    for wanted in ("path", "power"):
        if wanted not in told and wanted not in rest[2::2]:  # else what is wrong with it is told
            reader.wrong(at, f"batch-class {name}: no {wanted}")
    if told.get("pause", 0) < 0:
        reader.wrong(at, f"batch-class {name}: a pause that pays is none")
    text_of(reader, at).classes[name] = ClassText(
        name,
        rest[1] == "idempotent",
        told.get("path", "/"),
        told.get("power", {}),
        told.get("pause", 0),
        told.get("seats", {}),
        told.get("sites", ()),
        at,
    )


def on_runs(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) not in (3, 5) or rest[3:4] not in ([], ["to"]):
        raise ValueError("runs SITE KIND LANES [to HOST:PORT]")
    reader.once(at, "runs", f"{rest[0]} {rest[1]}")
    to = reader.told("runs", parse_address, rest[4]) if len(rest) == 5 else None
    text_of(reader, at).runs.append(
        RunsText(
            reader.told("runs", words.name, rest[0]),
            reader.told("runs", words.name, rest[1]),
            reader.told("runs", words.count, rest[2]),
            to,
            at,
        )
    )


SINGLE = {"batch-slot": (words.span, 900 * SECOND), "prices": (words.path, "")}


def check(reader: Reader) -> None:
    """What must hold between the lines, and with the fleet's own."""
    text, fleet = reader.found(BatchesText), reader.found(FleetText)
    told = reader.picked("directive", SINGLE)
    text.slot, text.prices = told["batch-slot"], told["prices"]
    if not text.line:
        return
    if not fleet.line:
        reader.wrong(text.line, "batches without a line `fleet`")
    contracted = [one.line for one in (*text.sites.values(), *text.classes.values())]
    if contracted and ("directive", "edition") not in reader.lines:
        reader.wrong(
            min(contracted), "a contract without a line `edition`, which numbers what the file contracts"
        )
    even = text.slot >= SECOND and not text.slot % SECOND and not 3600 * SECOND % text.slot
    if not even:
        reader.wrong(
            reader.lines["directive", "batch-slot"],
            "a slot of whole seconds that divides the hour is wanted, as 15m",
        )
    for site in text.sites.values():
        if not site.lanes:
            reader.wrong(site.line, f"site {site.name}: no line `lanes` says how many pieces run there")
        for band in site.bands:
            if even and (band.begin % text.slot or band.end % text.slot):
                reader.wrong(band.line, f"site {site.name}: a band does not begin and end with a slot")
    kinds = {kind for site in text.sites.values() for kind in site.lanes}
    for one in text.classes.values():
        if one.power and not kinds & set(one.power):
            reader.wrong(one.line, f"batch-class {one.name}: no site has nodes of its kinds")
        for name in one.sites:
            if name not in text.sites:
                reader.wrong(one.line, f"batch-class {one.name}: no site {name}")
        for feature in one.seats:
            if ("seats", feature) not in reader.lines:
                reader.wrong(one.line, f"batch-class {one.name}: no line `seats {feature}` contracts any")
    for run in text.runs:
        run.to = run.to or reader.given["directive"].get("listen")
        if run.to is None:
            reader.wrong(run.line, "no sidecar is in this process: `to HOST:PORT` is wanted")
        site = text.sites.get(run.site)
        if text.sites and (site is None or run.kind not in site.lanes):  # else it stands elsewhere
            reader.wrong(run.line, f"no lanes of {run.kind} at {run.site}")
    fleet.parts["batches"] = [text]


VOCABULARY = Vocabulary(
    {"site": on_site},
    {"lanes": on_lanes, "band": on_band, "peak": on_peak, "batch-class": on_class, "runs": on_runs},
    (check,),
    SINGLE,
)
