"""Tests of the gossip sockets between instances, on loopback."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Callable

import pynng
import testtools
from circuits import BaseComponent, Event, handler
from circuits.core.pollers import EPoll

from arbutusbridge.core.messages import Notice, NoticeKind
from arbutusbridge.daemon.hub import SocketHub
from arbutusbridge.daemon.metrics import Metrics
from arbutusbridge.daemon.peerlinks import link_url
from arbutusbridge.daemon.peers import Peers
from arbutusbridge.daemon.timers import TimerService
from arbutusbridge.standins.demonstration import make_instance_settings
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports

WAIT_TIMEOUT_S = 30.0


def wait_for(condition: Callable[[], bool]) -> bool:
    """Waits until a condition holds; returns whether it does in time."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not condition() and time.monotonic() < end:
        time.sleep(0.02)
    return condition()


class PeerNode(BaseComponent):
    """Peers component of one instance, whose seed is another instance."""

    channel = "queries"

    def __init__(self, number: int, port: int, seed_port: int) -> None:
        super().__init__()
        self.notices: list[Notice] = []
        EPoll().register(self)
        timers = TimerService().register(self)
        hub = SocketHub().register(self)
        settings = make_instance_settings(number, 1, [1, 1, port])
        seeds = [{"ip": LOOPBACK, "port": seed_port}]
        data = settings.model_dump() | {"peer_seeds": seeds}
        self.metrics = Metrics()
        self.peers = Peers.from_config(
            type(settings).model_validate(data),
            hub,
            timers,
            self.metrics,
            random.Random(number),
        ).register(self)

    @handler("notice_received")
    def on_notice(self, notice: Notice) -> None:
        self.notices.append(notice)

    @handler("broadcast")
    def on_broadcast(self, notice: Notice) -> None:
        self.peers.broadcast(notice)

    def refused(self, reason: str) -> float:
        return self.metrics.peer_refused.labels(reason)._value.get()


class PeersTest(testtools.TestCase):
    """Tests with two instances that are each other's seed."""

    def setUp(self) -> None:
        super().setUp()
        self.ports = find_free_ports(2)
        self.nodes = [
            PeerNode(n, self.ports[n], self.ports[1 - n]) for n in range(2)
        ]
        for node in self.nodes:
            node.start()
            self.addCleanup(node.stop)

    def test_notices_arrive_during_a_flood_of_forged_messages(self) -> None:
        peers = [node.peers for node in self.nodes]
        self.assertTrue(wait_for(lambda: all(p.counted == 2 for p in peers)))
        for junk in (b"", b"\x01" + b"x" * 500, b"\x07" * 40, b"z" * 200_000):
            stranger = pynng.Push0(send_timeout=100)
            self.addCleanup(stranger.close)
            stranger.dial(link_url((LOOPBACK, self.ports[1])))
            with contextlib.suppress(pynng.Timeout):
                for _ in range(50):
                    stranger.send(junk)
        notice = Notice(NoticeKind.QUARANTINE, "f" * 32)
        self.nodes[0].fire(Event.create("broadcast", notice), "queries")
        received = self.nodes[1].notices
        self.assertTrue(wait_for(lambda: bool(received)))
        self.assertEqual("f" * 32, received[0].subject)
        refused = self.nodes[1].refused
        self.assertTrue(wait_for(lambda: refused("forged") > 0))
