"""Runs ruddergate-gateway from a checkout, without installation."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from ruddergate.cli import gateway  # noqa: E402

gateway.run()
