"""ruddergate: a serving layer for model prompts of widely varying length.

The decision modules are re-exported here. They use no clock, socket or logger,
so other programs can embed them.
"""

from ruddergate.decisions import adoption
from ruddergate.decisions import cost
from ruddergate.decisions import estimate
from ruddergate.decisions import gangs
from ruddergate.decisions import ledger
from ruddergate.decisions import membership
from ruddergate.decisions import orders
from ruddergate.decisions import own_work
from ruddergate.decisions import queueing
from ruddergate.decisions import rendezvous
from ruddergate.decisions import retries
from ruddergate.decisions import routing
from ruddergate.decisions import shares
from ruddergate.decisions import subset
from ruddergate.decisions import sweeping

__all__ = [
    "adoption",
    "cost",
    "estimate",
    "gangs",
    "ledger",
    "membership",
    "orders",
    "own_work",
    "queueing",
    "rendezvous",
    "retries",
    "routing",
    "shares",
    "subset",
    "sweeping",
]
