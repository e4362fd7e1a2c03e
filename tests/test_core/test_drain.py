"""Tests of the tracking of leaving upstreams and of their restarts."""

from __future__ import annotations

from dataclasses import replace

import testtools

from arbutusbridge.bench import drain
from arbutusbridge.core.messages import Notice, NoticeKind
from arbutusbridge.core.model import Upstream
from arbutusbridge.core.requests.drain import DrainTracker

LISTED = Upstream("u", "127.0.0.1", 1, "dc", 2, 25, 1.0)


class DrainTrackerTest(testtools.TestCase):
    """Reports, notices and register exports at one instance."""

    def test_first_report_is_announced_once(self) -> None:
        drain_tracker = DrainTracker()
        self.assertTrue(drain_tracker.report_leaving("u", 3))
        self.assertFalse(drain_tracker.report_leaving("u", 3))
        (notice,) = drain_tracker.pending_notices
        other = DrainTracker()
        self.assertEqual("u", other.on_notice(notice))
        self.assertIsNone(other.on_notice(notice))
        self.assertEqual([], other.pending_notices)

    def test_only_a_greater_incarnation_returns(self) -> None:
        drain_tracker = DrainTracker()
        drain_tracker.report_leaving("u", 3)
        self.assertFalse(drain_tracker.observe_incarnation("u", 3))
        self.assertFalse(drain_tracker.observe_incarnation("u", 2))
        self.assertFalse(drain_tracker.observe_incarnation("u", 0))
        self.assertTrue(drain_tracker.observe_incarnation("u", 4))
        old = Notice(NoticeKind.LEAVING, "u\x003")
        self.assertIsNone(drain_tracker.on_notice(old))
        self.assertEqual({}, drain_tracker.leaving_incarnations)

    def test_register_reverts_only_its_own_leaving_mark(self) -> None:
        drain_tracker = DrainTracker()
        drain_tracker.configure({"u": LISTED})
        drain_tracker.report_leaving("u")
        self.assertEqual([], drain_tracker.configure({"u": LISTED}))
        marked = replace(LISTED, leaving=True)
        self.assertEqual([], drain_tracker.configure({"u": marked}))
        self.assertEqual(["u"], drain_tracker.configure({"u": LISTED}))
        drain_tracker.report_leaving("u")
        moved = replace(LISTED, port=2)
        self.assertEqual(["u"], drain_tracker.configure({"u": moved}))

    def test_no_late_attempts_after_leaves_under_load(self) -> None:
        done = drain.run(1, 30.0)
        self.assertEqual(0, sum(leave.late_attempts for leave in done.leaves))
        without_notices = drain.run(1, 30.0, share_notices=False)
        self.assertNotEqual(
            0, sum(leave.late_attempts for leave in without_notices.leaves)
        )
