"""Decodes the messages that the bench sends."""

from __future__ import annotations

from typing import Any

import msgspec

from .backend_lists import BackendList
from .wire_messages import (
    BackendListUpdate,
    BackendTraffic,
    BatchStart,
    Configure,
    MessageType,
    PeerMessage,
    ProbeResult,
    ProxyDemand,
    ProxyJoined,
    ProxyLeft,
    SliceDemand,
    SliceOwnership,
    Stop,
    StoredRoute,
    TimerFired,
    UpdateAcknowledged,
)


class WireError(Exception):
    """A received line violates the protocol described in WIRE-indigohitch.md."""


# By message type on the wire.
_DECODERS: dict[str, msgspec.json.Decoder[Any]] = {
    "Mark": msgspec.json.Decoder(BatchStart),
    "Flush": msgspec.json.Decoder(MessageType),
    "Configure": msgspec.json.Decoder(Configure),
    "PowerOff": msgspec.json.Decoder(Stop),
    "List": msgspec.json.Decoder(BackendList),
    "Endpoints": msgspec.json.Decoder(BackendListUpdate),
    "ProbeResult": msgspec.json.Decoder(ProbeResult),
    "Heat": msgspec.json.Decoder(SliceDemand),
    "Intake": msgspec.json.Decoder(ProxyDemand),
    "TrafficReport": msgspec.json.Decoder(BackendTraffic),
    "Connected": msgspec.json.Decoder(ProxyJoined),
    "LostStream": msgspec.json.Decoder(ProxyLeft),
    "Installed": msgspec.json.Decoder(UpdateAcknowledged),
    "AssignedToMe": msgspec.json.Decoder(SliceOwnership),
    "StoredLine": msgspec.json.Decoder(StoredRoute),
    "FromPeer": msgspec.json.Decoder(PeerMessage),
    "TickDue": msgspec.json.Decoder(TimerFired),
}
_TYPE_DECODER = msgspec.json.Decoder(MessageType)


def decode(line: bytes) -> tuple[str, Any]:
    """Decodes one line into its type and its message, which is None for an unknown type.

    Raises:
        WireError: The line is not valid JSON, or not a valid message of its type.
    """
    try:
        kind = _TYPE_DECODER.decode(line).type
        decoder = _DECODERS.get(kind)
        return kind, decoder.decode(line) if decoder else None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(f"bad line: {error}: {line[:120]!r}") from None
