"""The examples run unchanged."""

import contextlib
import io
import pathlib
import runpy
import unittest

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


class ExamplesTest(unittest.TestCase):
    def test_embed_routing(self) -> None:
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            runpy.run_path(
                str(_EXAMPLES / "embed_routing.py"), run_name="__main__"
            )
        lines = printed.getvalue().splitlines()
        self.assertEqual(len(lines), 2)
        # The short prompt avoids the engine that prefills the archive.
        self.assertNotEqual(lines[0].split()[-1], lines[1].split()[-1])
