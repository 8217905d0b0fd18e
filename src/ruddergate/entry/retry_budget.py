"""Retries that a request takes from the budget before it needs them."""

from ruddergate.entry import context as contexts
from ruddergate.entry import relay_progress


def return_retry(
    progress: relay_progress.Progress, context: contexts.EntryContext
) -> None:
    """Returns the retry that was taken for the next attempt, if any."""
    if progress.has_retry:
        progress.has_retry = False
        context.budget.refund()
