"""Signs that upstreams leave, and what brings them back."""

from __future__ import annotations

from dataclasses import replace

import testtools

from arbutusbridge.bench import drain
from arbutusbridge.core.messages import Notice, NoticeKind
from arbutusbridge.core.model import Upstream
from arbutusbridge.core.requests.drain import DrainTracker

LISTED = Upstream("u", "127.0.0.1", 1, "dc", 2, 25, 1.0)


class DeparturesTest(testtools.TestCase):
    """One instance's signs."""

    def test_first_sign_is_told_once(self) -> None:
        drain_tracker = DrainTracker()
        self.assertTrue(drain_tracker.report_leaving("u", 3))
        self.assertFalse(drain_tracker.report_leaving("u", 3))
        (notice,) = drain_tracker.pending_notices
        other = DrainTracker()
        self.assertEqual("u", other.on_notice(notice))
        self.assertIsNone(other.on_notice(notice))
        self.assertEqual([], other.pending_notices)

    def test_only_a_greater_incarnation_comes_back(self) -> None:
        drain_tracker = DrainTracker()
        drain_tracker.report_leaving("u", 3)
        self.assertFalse(drain_tracker.observe_incarnation("u", 3))
        self.assertFalse(drain_tracker.observe_incarnation("u", 2))
        self.assertFalse(drain_tracker.observe_incarnation("u", 0))
        self.assertTrue(drain_tracker.observe_incarnation("u", 4))
        old = Notice(NoticeKind.LEAVING, "u\x003")
        self.assertIsNone(drain_tracker.on_notice(old))
        self.assertEqual({}, drain_tracker.leaving_incarnations)

    def test_register_takes_back_only_its_own_word(self) -> None:
        drain_tracker = DrainTracker()
        drain_tracker.configure({"u": LISTED})
        drain_tracker.report_leaving("u")
        self.assertEqual([], drain_tracker.configure({"u": LISTED}))
        said = replace(LISTED, leaving=True)
        self.assertEqual([], drain_tracker.configure({"u": said}))
        self.assertEqual(["u"], drain_tracker.configure({"u": LISTED}))
        drain_tracker.report_leaving("u")
        moved = replace(LISTED, port=2)
        self.assertEqual(["u"], drain_tracker.configure({"u": moved}))

    def test_leaves_under_load(self) -> None:
        done = drain.run(1, 30.0)
        self.assertEqual(0, sum(leave.late for leave in done.leaves))
        alone = drain.run(1, 30.0, spread=False)
        self.assertNotEqual(0, sum(leave.late for leave in alone.leaves))
