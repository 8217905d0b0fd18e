"""Tests, one file for each subject."""

from ruddergate.telemetry import logs

logs.configure("CRITICAL", False)
