"""Whether a VM or target is in service."""

import enum


class Condition(enum.StrEnum):
    """Condition as published by the platform."""

    LIVE = "live"
    DRAINING = "leaving"
