"""Routing policies: functions with one signature, selected by name."""

from ruddergate.decisions.routing import by_name
from ruddergate.decisions.routing import job
from ruddergate.decisions.routing import policy

__all__ = ["by_name", "job", "policy"]
