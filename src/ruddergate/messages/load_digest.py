"""A gateway's own work on targets, as it tells its peers."""

import msgspec

from ruddergate.fleet import dispatched
from ruddergate.fleet import loss_report
from ruddergate.fleet import rate_limit


class LoadDigest(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway has running, as it stood when this was made.

    Attributes:
        sender: Where the gateway takes datagrams (HOST:PORT).
        hall: Its data hall.
        link_mbps: How fast its link is, in megabits a second.
        incarnation: Name of this run of the gateway.
        number: Rises with each digest of an incarnation.
        rows: Its work on targets; targets without any are left out.
        lost: What it has just found out of reach.
        leaving: Lives of targets that have lately told it in answers that they
            leave, as `incarnation.format_incarnation` writes them.
        rate_limits: Limits that targets have lately named or ended.
        settings_revision: Revision of the published settings in force there.
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
