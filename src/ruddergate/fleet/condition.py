"""Whether a VM or target takes part."""

import enum


class Condition(enum.StrEnum):
    """Condition as published by the platform."""

    LIVE = "live"
    DRAINING = "leaving"
