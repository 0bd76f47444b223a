"""The callbacks between the parts of a node, and the settings of its Raft node."""

from __future__ import annotations

from ...config.fleet import FleetText
from ..distribution.messages import Report
from ..membership.messages import LeaseNotRenewed, LeaseRenewed, RenewLease
from ..transport.links import Transport
from .driver import Driver
from .introductions import Introductions
from .join import JoinProcedure
from .membership import MembershipDriver
from .messages import JoinRequest, JoinResponse
from .standard import Assembly
from .traffic import Traffic
from .work_loop import WorkLoop

# Of Raft: a message of entries small enough that a heartbeat is not late behind it on a slow link, and so
# many of them in flight that 50 MB/s pass at a round trip of 10 ms.
BOUNDS = {"append_most": 64 << 10, "piece": 64 << 10, "inflight": 8, "proposals_most": 1024}


def raft_settings(text: FleetText) -> dict[str, int]:
    """Returns the settings of the Raft node from the operator's file."""
    waits: dict[str, int] = text.waits
    return BOUNDS | {"election": waits["election"], "beat": waits["beat"], "log_most": text.limit}


def connect_raft(driver: Driver, traffic: Traffic, work_loop: WorkLoop) -> None:
    """Sets the callbacks of the Raft node."""
    driver.on_restored = work_loop.on_restored
    driver.on_rejected = traffic.on_rejected
    driver.on_read_result = traffic.on_read_result


def connect_handlers(
    traffic: Traffic, assembly: Assembly, membership_driver: MembershipDriver, join: JoinProcedure
) -> None:
    """Sets the handlers of the messages beside Raft's."""
    traffic.handlers |= {
        JoinRequest: join.on_request,
        JoinResponse: join.on_response,
        Report: assembly.on_report,
        RenewLease: membership_driver.on_message,
        LeaseRenewed: membership_driver.on_message,
        LeaseNotRenewed: membership_driver.on_message,
    }


def connect_transport(links: Transport, traffic: Traffic, introductions: Introductions) -> None:
    """Sets the callbacks of the links."""
    links.deliver = traffic.on_message
    links.record_peer = introductions.record
    links.make_acceptance = introductions.acceptance
    links.highest_number = introductions.highest_number
