"""Signs that upstreams leave, and what brings them back."""

from __future__ import annotations

from dataclasses import replace

import testtools

from arbutusbridge.bench import drain
from arbutusbridge.core.messages import Notice, NoticeKind
from arbutusbridge.core.model import Upstream
from arbutusbridge.core.requests.drain import Departures

LISTED = Upstream("u", "127.0.0.1", 1, "dc", 2, 25, 1.0)


class DeparturesTest(testtools.TestCase):
    """One instance's signs."""

    def test_first_sign_is_told_once(self) -> None:
        departures = Departures()
        self.assertTrue(departures.sign("u", 3))
        self.assertFalse(departures.sign("u", 3))
        (notice,) = departures.untold
        other = Departures()
        self.assertEqual("u", other.hear(notice))
        self.assertIsNone(other.hear(notice))
        self.assertEqual([], other.untold)

    def test_only_a_greater_incarnation_comes_back(self) -> None:
        departures = Departures()
        departures.sign("u", 3)
        self.assertFalse(departures.see("u", 3))
        self.assertFalse(departures.see("u", 2))
        self.assertFalse(departures.see("u", 0))
        self.assertTrue(departures.see("u", 4))
        old = Notice(NoticeKind.LEAVING, "u\x003")
        self.assertIsNone(departures.hear(old))
        self.assertEqual({}, departures.left)

    def test_register_takes_back_only_its_own_word(self) -> None:
        departures = Departures()
        departures.configure({"u": LISTED})
        departures.sign("u")
        self.assertEqual([], departures.configure({"u": LISTED}))
        said = replace(LISTED, leaving=True)
        self.assertEqual([], departures.configure({"u": said}))
        self.assertEqual(["u"], departures.configure({"u": LISTED}))
        departures.sign("u")
        moved = replace(LISTED, port=2)
        self.assertEqual(["u"], departures.configure({"u": moved}))

    def test_leaves_under_load(self) -> None:
        done = drain.run(1, 30.0)
        self.assertEqual(0, sum(leave.late for leave in done.leaves))
        alone = drain.run(1, 30.0, spread=False)
        self.assertNotEqual(0, sum(leave.late for leave in alone.leaves))
