"""Tells answers of the store that belong to different epochs apart."""

import dataclasses

from ruddergate.fleet import store_position
from ruddergate.relay import published


def check_epoch(
    found: published.Changes,
    since: store_position.StorePosition | None,
    known_epoch: int,
) -> published.Changes | published.HistoryLost | published.Unavailable:
    """Returns an answer as far as it can be gone by.

    A store that has been restored from a copy may have passed the position that
    it was asked for again; the changes before that position are others then.

    Args:
        found: The answer. One that names no epoch counts as of the known one.
        since: The position behind which it begins; None for everything.
        known_epoch: The last epoch that the store itself has named.
    """
    position = found.position
    if position.epoch == store_position.EPOCH_UNKNOWN:
        position = dataclasses.replace(position, epoch=known_epoch)
    if position.epoch < known_epoch:
        return published.Unavailable(
            f"the answer is of epoch {position.epoch}, {known_epoch} is known"
        )
    if since is not None:
        is_other = position.epoch != since.epoch
        if is_other or position.revision < since.revision:
            return published.HistoryLost(position.epoch)
    return dataclasses.replace(found, position=position)
