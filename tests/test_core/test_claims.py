"""Stateful tests of claims by concurrent instances over a failing store.

Store calls may succeed, fail, lose their reply or take effect late, and
instances may crash or forget their caches. Two senders for one key, an entry
that reverts or a history that is not linearizable would fail the tests.
"""

from __future__ import annotations

import testtools
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from arbutusbridge.core.claims import claims
from arbutusbridge.core.claims.claimpage import (
    ChangeOutcome,
    Claim,
    ClaimChange,
    ClaimState,
    apply_change,
    decode_page,
)
from arbutusbridge.core.claims.claims import ClaimWriter
from arbutusbridge.core.keys import ClaimKey
from arbutusbridge.core.messages import (
    SetTimer,
    StoreCas,
    StoreResult,
    StoreStatus,
)
from arbutusbridge.standins.platform import KeyValueStore
from tests.test_core.linearizability import Operation, is_linearizable

INSTANCES = 3
KEYS = [ClaimKey("claims/1/1-0", bytes([n])) for n in range(2)]
CHANGE_TIMEOUT_S = 3.0
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class ClaimMachine(RuleBasedStateMachine):
    """Instances that claim and settle two keys of one page.

    Attributes:
      calls: Store calls in flight, each with the writer that made it.
      delayed_writes: Writes whose caller timed out; they may still take
        effect.
    """

    apply = staticmethod(apply_change)

    def __init__(self) -> None:
        super().__init__()
        self.store = KeyValueStore()
        self.now = 0.0
        self.tick = 0
        self.processes = [self.new_process() for _ in range(INSTANCES)]
        self.calls: list = []
        self.delayed_writes: list[StoreCas] = []
        self.timers: list = []
        self.history: list[Operation] = []
        self.owned: list[tuple[ClaimWriter, ClaimChange]] = []
        self.seen: dict[bytes, Claim] = {}

    def new_process(self) -> ClaimWriter:
        process = ClaimWriter()
        process.apply = self.apply
        return process

    def submit(self, process: ClaimWriter, change: ClaimChange) -> None:
        self.tick += 1
        operation = Operation(change, self.tick)
        self.history.append(operation)

        def on_outcome(outcome, existing, _now, _out) -> None:
            self.tick += 1
            operation.outcome = outcome
            operation.existing = existing
            if operation.settled:
                operation.end = self.tick
            is_claim = change.claim.state is ClaimState.CLAIMED
            if outcome is ChangeOutcome.APPLIED and is_claim:
                self.owned.append((process, change))

        change.on_outcome = on_outcome
        out: list = []
        process.submit(change, self.now, out)
        self.carry_out(process, out)

    def carry_out(self, process: ClaimWriter, out: list) -> None:
        for action in out:
            if isinstance(action, SetTimer):
                self.timers.append((action.at, process, action.token[1]))
            else:
                self.calls.append((process, action))

    @rule(instance=st.integers(0, INSTANCES - 1), key=st.sampled_from(KEYS))
    def claim(self, instance: int, key: ClaimKey) -> None:
        claim = Claim(f"owner-{len(self.history)}", ClaimState.CLAIMED)
        change = ClaimChange(
            key, claim, self.now + CHANGE_TIMEOUT_S, lambda *_: None
        )
        self.submit(self.processes[instance], change)

    @precondition(lambda self: self.owned)
    @rule(
        number=st.integers(0, 9),
        state=st.sampled_from([ClaimState.RAN, ClaimState.VOID]),
    )
    def settle(self, number: int, state: ClaimState) -> None:
        process, change = self.owned.pop(number % len(self.owned))
        if process in self.processes:
            claim = Claim(change.claim.owner, state, number)
            later = self.now + CHANGE_TIMEOUT_S
            self.submit(
                process, ClaimChange(change.key, claim, later, lambda *_: None)
            )

    @precondition(lambda self: self.calls)
    @rule(
        number=st.integers(0, 9),
        fate=st.sampled_from(["done"] * 6 + ["lost", "failed", "late"]),
    )
    def answer(self, number: int, fate: str) -> None:
        process, action = self.calls.pop(number % len(self.calls))
        result = StoreResult(action.token, StoreStatus.UNAVAILABLE)
        if fate in ("done", "lost"):
            applied = self.run_call(action)
            result = applied if fate == "done" else result
        elif fate == "late" and isinstance(action, StoreCas):
            self.delayed_writes.append(action)
        if process in self.processes:
            out: list = []
            process.on_store(result, self.now, out)
            self.carry_out(process, out)

    def run_call(self, action) -> StoreResult:
        if isinstance(action, StoreCas):
            index = self.store.cas(action.key, action.value, action.index)
            if index is None:
                return StoreResult(action.token, StoreStatus.CONFLICT)
            return StoreResult(action.token, StoreStatus.DONE, None, index)
        entry = self.store.entries.get(action.key)
        if entry is None:
            return StoreResult(action.token, StoreStatus.DONE)
        return StoreResult(
            action.token, StoreStatus.DONE, entry.value, entry.index
        )

    @precondition(lambda self: self.delayed_writes)
    @rule(number=st.integers(0, 9))
    def land_late(self, number: int) -> None:
        self.tick += 1
        self.run_call(
            self.delayed_writes.pop(number % len(self.delayed_writes))
        )

    @rule(seconds=st.sampled_from([0.06, 0.2, 4.0]))
    def pause(self, seconds: float) -> None:
        self.now += seconds
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        for _, process, page in due:
            if process in self.processes:
                out: list = []
                process.on_timer(page, self.now, out)
                self.carry_out(process, out)

    @rule(instance=st.integers(0, 3 * INSTANCES))
    def crash(self, instance: int) -> None:
        if instance < INSTANCES:
            self.processes[instance] = self.new_process()

    @rule(instance=st.integers(0, INSTANCES - 1))
    def forget(self, instance: int) -> None:
        pages = self.processes[instance].pages
        for name in [n for n, p in pages.items() if not p.waiting]:
            del pages[name]

    @invariant()
    def entries_never_revert(self) -> None:
        value = self.store.entries.get(KEYS[0].page)
        entries = decode_page(value.value if value else None)
        assert entries is not None
        for entry, before in self.seen.items():
            now = entries[entry]
            assert now.owner == before.owner
            assert before.state is ClaimState.CLAIMED or now == before
        self.seen = entries

    @invariant()
    def one_sender_per_key(self) -> None:
        senders = [
            operation.change.key.entry
            for operation in self.history
            if operation.outcome is ChangeOutcome.APPLIED
            and operation.change.claim.state is ClaimState.CLAIMED
        ]
        assert len(set(senders)) == len(senders)

    def teardown(self) -> None:
        for key in KEYS:
            of_key = [o for o in self.history if o.change.key is key]
            assert is_linearizable(of_key)


def overwrite(entries, change):
    """A faulty decision: a claim replaces any other."""
    entries[change.key.entry] = change.claim


def skip_void_write(entries, change):
    """A faulty decision: a void succeeds without being written."""
    if change.claim.state is ClaimState.VOID:
        return ChangeOutcome.APPLIED
    return apply_change(entries, change)


class ClaimHistoryTest(testtools.TestCase):
    """Checks histories of claims with the real and faulty decisions."""

    def check(self, decision) -> None:
        class Machine(ClaimMachine):
            apply = staticmethod(decision)

        quick = settings(SETTINGS, phases=[Phase.generate])
        run_state_machine_as_test(Machine, settings=quick)

    def test_histories_are_linearizable(self) -> None:
        self.check(apply_change)

    def test_faulty_decisions_are_detected(self) -> None:
        for decision in (overwrite, skip_void_write):
            self.assertRaises(AssertionError, self.check, decision)

    def test_full_page_refuses_claims_but_stores_outcomes(self) -> None:
        self.patch(claims, "MAX_PAGE_BYTES_FOR_CLAIMS", 10)
        machine = ClaimMachine()
        machine.claim(0, KEYS[0])
        machine.answer(0, "done")
        machine.claim(0, KEYS[1])
        machine.settle(0, ClaimState.RAN)
        while machine.calls:
            machine.answer(0, "done")
        change_outcomes = [operation.outcome for operation in machine.history]
        self.assertEqual(
            [ChangeOutcome.APPLIED, ChangeOutcome.FULL, ChangeOutcome.APPLIED],
            change_outcomes,
        )
