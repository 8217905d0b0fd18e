"""A gateway's own load on targets, as it gossips it to peers."""

import msgspec

from ruddergate.fleet import dispatched
from ruddergate.fleet import loss_report
from ruddergate.fleet import rate_limit


class LoadDigest(msgspec.Struct, frozen=True, array_like=True):
    """A snapshot of one gateway's work in flight.

    Attributes:
        sender: Address at which the gateway receives datagrams (HOST:PORT).
        hall: Its data hall.
        link_mbps: Speed of its network link, in megabits per second.
        incarnation: Identifies this run of the gateway.
        sequence: Increases with each digest of an incarnation.
        rows: Its work in flight; targets without any are left out.
        losses: What it has just found unreachable.
        draining: Incarnations of targets that recently reported to it, in
            their responses, that they are draining; in the format of
            `incarnation.format_incarnation`.
        rate_limits: Rate limits that targets recently reported or ended.
        settings_revision: Revision of the published settings in force at the
            gateway.
        carried: Connections to targets that it carries for peers; -1 if it
            carries none at present.
        refuted_ends: Targets that responded to it after they were reported as
            terminated; in the format of `incarnation.format_incarnation`.
    """

    sender: str
    hall: str
    link_mbps: int
    incarnation: str
    sequence: int
    rows: tuple[dispatched.Dispatched, ...]
    losses: loss_report.LossReport = loss_report.EMPTY
    draining: tuple[str, ...] = ()
    rate_limits: tuple[rate_limit.RateLimitUpdate, ...] = ()
    settings_revision: int = 0
    carried: int = -1
    refuted_ends: tuple[str, ...] = ()
