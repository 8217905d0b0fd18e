"""Checks that a response of the store belongs to the expected epoch."""

import dataclasses

from ruddergate.fleet import store_position
from ruddergate.relay import published


def check_epoch(
    found: published.Changes,
    since: store_position.StorePosition | None,
    known_epoch: int,
) -> published.Changes | published.HistoryLost | published.Unavailable:
    """Returns a response if it can be used, or what is wrong with it.

    A store that was restored from a copy may since have passed the requested
    position again, with a different history before that position.

    Args:
        found: The response. Without an epoch it counts as of the known one.
        since: The position after which it starts; None for a full read.
        known_epoch: The last epoch that was read from the store itself.
    """
    position = check_position(found.position, since, known_epoch)
    if not isinstance(position, store_position.StorePosition):
        return position
    return dataclasses.replace(found, position=position)


def check_position(
    position: store_position.StorePosition,
    since: store_position.StorePosition | None,
    known_epoch: int,
) -> (
    store_position.StorePosition | published.HistoryLost | published.Unavailable
):
    """Returns the position in a response, or what is wrong with it.

    The arguments are as in `check_epoch`.
    """
    if position.epoch == store_position.EPOCH_UNKNOWN:
        position = dataclasses.replace(position, epoch=known_epoch)
    if position.epoch < known_epoch:
        return published.Unavailable(
            f"the response is of epoch {position.epoch},"
            f" but epoch {known_epoch} has been read before"
        )
    if since is not None:
        is_other_epoch = position.epoch != since.epoch
        if is_other_epoch or position.revision < since.revision:
            return published.HistoryLost(position.epoch)
    return position
