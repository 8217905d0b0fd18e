"""Runs ruddergate-gateway from a checkout, without installation."""

import pathlib
import signal
import sys

# The default effect of a SIGHUP would end the process until it handles it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from ruddergate.cli import gateway  # noqa: E402

gateway.run()
