"""Sets the callbacks between the parts of a node; the settings of its Raft node."""

from __future__ import annotations

from ...config.fleet import FleetText
from ..distribution.messages import Report
from ..membership.messages import LeaseNotRenewed, LeaseRenewed, RenewLease
from ..transport.links import Transport
from .assembly import Assembly
from .driver import Driver
from .handshake_replies import HandshakeReplies
from .join import JoinProcedure
from .membership import MembershipDriver
from .messages import JoinRequest, JoinResponse
from .messaging import Messaging
from .work_loop import WorkLoop

# Messages of entries are small enough not to delay a heartbeat behind them on a slow link, and enough of them
# are in flight to reach 50 MB/s at a round trip of 10 ms.
RAFT_LIMITS = {"append_most": 64 << 10, "piece": 64 << 10, "inflight": 8, "proposals_most": 1024}


def raft_settings(text: FleetText) -> dict[str, int]:
    """Returns the settings of the Raft node from the operator's file."""
    waits: dict[str, int] = text.waits
    return RAFT_LIMITS | {"election": waits["election"], "beat": waits["beat"], "log_most": text.limit}


def connect_raft(driver: Driver, messaging: Messaging, work_loop: WorkLoop) -> None:
    """Sets the callbacks of the Raft driver."""
    driver.on_restored = work_loop.on_restored
    driver.on_rejected = messaging.on_rejected
    driver.on_read_result = messaging.on_read_result


def connect_handlers(
    messaging: Messaging, assembly: Assembly, membership_driver: MembershipDriver, join: JoinProcedure
) -> None:
    """Sets the handlers of the messages that neither Raft nor `messaging` handles."""
    messaging.handlers |= {
        JoinRequest: join.on_request,
        JoinResponse: join.on_response,
        Report: assembly.on_report,
        RenewLease: membership_driver.on_message,
        LeaseRenewed: membership_driver.on_message,
        LeaseNotRenewed: membership_driver.on_message,
    }


def connect_transport(links: Transport, messaging: Messaging, handshake_replies: HandshakeReplies) -> None:
    """Sets the callbacks of the links."""
    links.deliver = messaging.on_message
    links.record_peer = handshake_replies.record
    links.make_acceptance = handshake_replies.acceptance
    links.highest_number = handshake_replies.highest_number
