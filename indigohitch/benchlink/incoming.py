"""Decodes the lines of the bench's wire."""

from __future__ import annotations

from typing import Any

import msgspec

from .backend_lists import List
from .wire_messages import (
    AssignedToMe,
    Configure,
    Connected,
    Endpoints,
    FromPeer,
    Heat,
    Installed,
    Intake,
    Kind,
    LostStream,
    Opening,
    PowerOff,
    ProbeResult,
    StoredLine,
    TickDue,
    TrafficReport,
)


class WireError(Exception):
    """What came down the pipe is not what the wire page says."""


# By the line's type on the wire.
_DECODERS: dict[str, msgspec.json.Decoder[Any]] = {
    "Mark": msgspec.json.Decoder(Opening),
    "Flush": msgspec.json.Decoder(Kind),
    "Configure": msgspec.json.Decoder(Configure),
    "PowerOff": msgspec.json.Decoder(PowerOff),
    "List": msgspec.json.Decoder(List),
    "Endpoints": msgspec.json.Decoder(Endpoints),
    "ProbeResult": msgspec.json.Decoder(ProbeResult),
    "Heat": msgspec.json.Decoder(Heat),
    "Intake": msgspec.json.Decoder(Intake),
    "TrafficReport": msgspec.json.Decoder(TrafficReport),
    "Connected": msgspec.json.Decoder(Connected),
    "LostStream": msgspec.json.Decoder(LostStream),
    "Installed": msgspec.json.Decoder(Installed),
    "AssignedToMe": msgspec.json.Decoder(AssignedToMe),
    "StoredLine": msgspec.json.Decoder(StoredLine),
    "FromPeer": msgspec.json.Decoder(FromPeer),
    "TickDue": msgspec.json.Decoder(TickDue),
}
_KIND = msgspec.json.Decoder(Kind)


def decode(line: bytes) -> tuple[str, Any]:
    """Decodes one line into its type and its message; None for a type that is not on the wire page.

    Raises WireError.
    """
    try:
        kind = _KIND.decode(line).type
        decoder = _DECODERS.get(kind)
        return kind, decoder.decode(line) if decoder else None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"bad line: {error}: {line[:120]!r}") from None
