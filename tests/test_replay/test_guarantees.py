"""Each check of a guarantee passes for the core and fails for a broken one.

A check that never fails would hide violations, so every test also replays
its trace with a core that breaks the guarantee.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any
from unittest import mock

import testtools

from arbutusbridge.core.messages import (
    Attempt,
    ExecutionStatus,
    Outcome,
    ReplyKind,
    Respond,
)
from arbutusbridge.core.requests.query import Query
from arbutusbridge.core.stop import StopPlan, StopStep
from arbutusbridge.replay import samples
from arbutusbridge.replay.player import Player, ReplayResult
from arbutusbridge.replay.trace import parse_line
from arbutusbridge.settings import (
    Register,
    RulesFile,
    parse_model,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from arbutusbridge.core.messages import Action
    from arbutusbridge.replay.world import VirtualInstance

DEPLOYMENT = samples.SADDLEBACK


def replay(
    rows: list[dict[str, Any]],
    modify: Callable[[VirtualInstance], None] = lambda _instance: None,
    rules: dict[str, Any] | None = None,
) -> ReplayResult:
    """Replays rows on the first sample deployment."""
    register = parse_model(
        json.dumps(samples.make_register(DEPLOYMENT)), Register, "register"
    )
    rules_file = parse_model(
        json.dumps(rules or DEPLOYMENT.rules), RulesFile, "rules"
    )
    ordered = sorted(rows, key=lambda row: row["at_ms"])
    lines = [parse_line(json.dumps(row), "row") for row in ordered]
    return Player(register, rules_file, 1, modify).play(lines)


def rewrite_actions(rewrite: Callable[[Action], list[Action]]) -> Any:
    """Returns a modification that rewrites every action of the core."""

    def modify(instance: VirtualInstance) -> None:
        carry_out = instance.carry_out

        def carry_out_rewritten(actions: list[Action]) -> None:
            carry_out([new for old in actions for new in rewrite(old)])

        instance.carry_out = carry_out_rewritten  # type: ignore[method-assign]

    return modify


class GuaranteesTest(testtools.TestCase):
    """Each guarantee, kept by the core and broken by a modified one."""

    def check(
        self,
        guarantee: str,
        rows: list[dict[str, Any]],
        modify: Any,
        rules: dict[str, Any] | None = None,
    ) -> None:
        kept = replay(rows, rules=rules)
        self.assertEqual(
            0, kept.findings.counts[guarantee], kept.findings.lines
        )
        broken = replay(rows, modify, rules)
        self.assertGreater(broken.findings.counts[guarantee], 0)

    def test_mixed_snapshots(self) -> None:
        rows = samples.searches(DEPLOYMENT, 0, 300, 20)
        rows.append(samples.event(0, "flip_snapshot", "u1-0", snapshot=2))

        def use_newest_snapshot(action: Action) -> list[Action]:
            if isinstance(action, Attempt) and action.upstream == "u1-0":
                version = (action.version[0], 2)
                return [dataclasses.replace(action, version=version)]
            return [action]

        def accepts(_query: Any, reply: Any, _task: Any) -> bool:
            return bool(reply.kind is ReplyKind.RESULT)

        def modify(instance: VirtualInstance) -> None:
            rewrite_actions(use_newest_snapshot)(instance)

        kept = replay(rows)
        self.assertEqual(0, kept.findings.counts["mixed_snapshots"])
        with mock.patch.object(Query, "accepts", accepts):
            broken = replay(rows, modify)
        self.assertGreater(broken.findings.counts["mixed_snapshots"], 0)

    def test_false_coverage(self) -> None:
        rows = samples.searches(DEPLOYMENT, 0, 300, 20)
        rows += [samples.event(0, "crash", f"u2-{r}") for r in range(3)]

        def whole(action: Action) -> list[Action]:
            if isinstance(action, Respond):
                action.answer.coverage = 1.0
            return [action]

        self.check("false_coverage", rows, rewrite_actions(whole))

    def test_wrong_answers(self) -> None:
        rows = samples.searches(DEPLOYMENT, 0, 300, 20)
        seen_hits: list[Any] = []

        def repeat_first_hits(action: Action) -> list[Action]:
            if isinstance(action, Respond):
                seen_hits.append(action.answer.hits)
                action.answer.hits = seen_hits[0]
            return [action]

        self.check("wrong_answers", rows, rewrite_actions(repeat_first_hits))

    def test_unanswered_request_is_a_wrong_answer(self) -> None:
        rows = samples.searches(DEPLOYMENT, 0, 100, 20)

        def silent(action: Action) -> list[Action]:
            return [] if isinstance(action, Respond) else [action]

        self.check("wrong_answers", rows, rewrite_actions(silent))

    def test_false_not_run(self) -> None:
        rows = samples.searches(DEPLOYMENT, 0, 300, 20)
        rows += [samples.event(0, "crash", f"u2-{r}") for r in range(3)]
        rows += [samples.event(0, "crash", f"u9-{r}") for r in range(3)]

        def deny_run(action: Action) -> list[Action]:
            if isinstance(action, Respond):
                action.answer.outcome = Outcome.NOT_RUN
                action.answer.ran = ExecutionStatus.NO
            return [action]

        self.check("false_not_run", rows, rewrite_actions(deny_run))

    def test_double_runs(self) -> None:
        key = samples.make_key(0, 1)
        rows = [
            samples.record(DEPLOYMENT, 0, "r1", DEPLOYMENT.data_centres[0], key)
        ]

        def send_twice(action: Action) -> list[Action]:
            if isinstance(action, Attempt) and action.key is not None:
                duplicate = dataclasses.replace(action, attempt_id=10**6)
                return [action, duplicate]
            return [action]

        self.check("double_runs", rows, rewrite_actions(send_twice))

    def test_key_of_any_form_is_shared_by_its_resends(self) -> None:
        data_centres = DEPLOYMENT.data_centres
        rows = [samples.record(DEPLOYMENT, 0, "r1", data_centres[0], "swap-17")]
        rows.append(
            samples.record(DEPLOYMENT, 500, "r2", data_centres[1], "swap-17")
        )
        rows[0]["expect"] = {"outcome": "complete"}
        rows[1]["expect"] = {"outcome": "refused_duplicate"}
        self.assertEqual([], replay(rows).unmet)

    def test_fault_without_duration_lasts_to_the_end(self) -> None:
        rows = samples.searches(DEPLOYMENT, 100, 300, 20)
        rows += [samples.event(0, "shed", f"u2-{r}") for r in range(3)]
        result = replay(rows)
        self.assertLess(result.figures["mean_coverage"], 1.0)

    def test_work_after_leave(self) -> None:
        rows = samples.searches(DEPLOYMENT, 0, 6000, 50)
        rows.append(samples.event(500, "drain", "u3-1"))

        def modify(instance: VirtualInstance) -> None:
            report = instance.tier.report
            replies = instance.tier.replies

            def ignore_leaving_report(
                name: str,
                held: Any,
                load: Any,
                _leaving: bool,
                *more: Any,
                **named: Any,
            ) -> Any:
                return report(name, held, load, False, *more, **named)

            def ignore_leaving_replies(batch: list[Any], now: float) -> Any:
                for reply in batch:
                    if reply.kind is ReplyKind.LEAVING:
                        reply.kind = ReplyKind.SHED
                return replies(batch, now)

            instance.tier.report = ignore_leaving_report  # type: ignore[method-assign]
            instance.tier.replies = ignore_leaving_replies  # type: ignore[method-assign]

        self.check("work_after_leave", rows, modify)

    def test_cut_off(self) -> None:
        rows = samples.searches(DEPLOYMENT, 0, 1000, 5)
        rows.append(samples.event(500, "restart_instance", "north-1"))
        kept = replay(rows)
        self.assertEqual(0, kept.findings.counts["cut_off"])

        def exit_at_once(*_args: Any) -> list[StopStep]:
            return [StopStep.EXIT]

        with mock.patch.object(StopPlan, "tick", exit_at_once):
            broken = replay(rows)
        self.assertGreater(broken.findings.counts["cut_off"], 0)

    def test_config_reverts(self) -> None:
        rows = samples.searches(DEPLOYMENT, 0, 6000, 50)
        rows.append(samples.event(500, "publish", rules=DEPLOYMENT.rules))

        def modify(instance: VirtualInstance) -> None:
            first = instance.tier.configuration
            assert first is not None
            at = instance.world.now + 4.5
            instance.world.schedule.at(at, instance.tier.configure, first)

        self.check("config_reverts", rows, modify)
