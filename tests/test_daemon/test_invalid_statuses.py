"""Tests of responses whose status HTTP does not have."""

from __future__ import annotations

import itertools
import random
import threading

import testtools

from arbutusbridge.core.messages import ReplyKind, StoreGet, StoreStatus
from arbutusbridge.daemon import searchjobs, storeclient
from arbutusbridge.daemon.platform import (
    OpenCall,
    PlatformClient,
    decode_result,
)
from arbutusbridge.daemon.relayconnection import RelayConnection
from arbutusbridge.daemon.subrequests import STATUS_REQUEST
from arbutusbridge.daemon.upstreams import UpstreamPools
from arbutusbridge.forwarding import AttemptEnd
from arbutusbridge.platform import WIRE
from arbutusbridge.platform.store import (
    create_lease_request,
    page_request,
    renew_lease_request,
    watch_request,
    write_request,
)
from arbutusbridge.standins.deployment import LOOPBACK
from tests.test_daemon.fixtures import (
    ComponentBench,
    RawUpstream,
    attempt,
    configuration,
)
from tests.test_daemon.test_relaypools import RelayPoolsCase, response
from tests.test_daemon.test_upstreams import STATUS, result

STATUSES = (
    *("000", "099", "600", "999", "42", "99", "1000", "2000", "9999"),
    *("abc", "2x0"),
)

FRAMINGS = {
    "with a length": b"Content-Length: 2\r\n\r\nhi",
    "in chunks": b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "without a length": b"\r\nhi",
}

NOT_RUN = "X-Not-Executed: 1\r\nServer-Leaving: 1\r\n"


def invalid_response(
    status: str,
    framing: bytes = FRAMINGS["with a length"],
    request_id: str | None = "r2",
    signed: bool = True,
    headers: str = "",
) -> bytes:
    """Returns a response with an invalid status."""
    lines = f"HTTP/1.1 {status} X\r\n{headers}"
    if signed:
        lines += "X-Server-Stamp: a.9\r\n"
    if request_id is not None:
        lines += f"X-Request-Id: {request_id}\r\n"
    return lines.encode() + framing


class ConnectionCase(testtools.TestCase):
    """A connection whose received bytes the test passes to it itself."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.raw = RawUpstream()
        self.addCleanup(self.raw.listener.close)
        self.connection: RelayConnection | None = None
        self.addCleanup(self.close_connection)

    def close_connection(self) -> None:
        """Closes the last connection; the tests open thousands in turn."""
        if self.connection is not None:
            self.connection.close()

    def connect(self, reused: bool) -> RelayConnection:
        """Returns a connection on which the request r2 is in flight."""
        self.close_connection()
        self.connection = connection = RelayConnection(
            self.bench.hub,
            (LOOPBACK, self.raw.port),
            lambda _connection, _status, _body: None,
            lambda _connection: None,
            read_identity=WIRE.read_identity,
        )
        self.addCleanup(connection.close)
        if reused:
            connection.expect("r1", True)
            connection.feed(response("r1"))
            self.assertEqual((200, b"ok"), connection.response)
            connection.response = None
        connection.expect("r2", True)
        return connection

    def outcome(self, connection: RelayConnection, *pieces: bytes):
        """Returns the response, and whether the connection is given up."""
        for piece in pieces:
            connection.feed(piece)
        return connection.response, connection.out_of_sync


class ConnectionTest(ConnectionCase):
    """Parsing of such a response, and what follows it."""

    # Guards against a caller that is handed a status such as 600, and against
    # one that waits for its deadline because a status such as 000 is taken for
    # that of an interim response.
    def test_response_is_given_up_at_once(self) -> None:
        wrong = []
        for status, (framing, rest), signed, reused, named in itertools.product(
            STATUSES,
            FRAMINGS.items(),
            (False, True),
            (False, True),
            (False, True),
        ):
            data = invalid_response(
                status, rest, "r2" if named else None, signed
            )
            outcome = self.outcome(self.connect(reused), data)
            if outcome != (None, True):
                wrong.append((status, framing, signed, reused, named, outcome))
        self.assertEqual([], wrong)

    # Guards against the same if the response arrives in several reads.
    def test_response_in_parts_is_given_up(self) -> None:
        for status in STATUSES:
            data = invalid_response(status)
            pieces = [data[n : n + 1] for n in range(len(data))]
            outcome = self.outcome(self.connect(False), *pieces)
            self.assertEqual((None, True), outcome, status)

    # Guards against a valid response that is missed because a response with an
    # invalid status was received before it.
    def test_valid_response_after_it_is_found(self) -> None:
        for status, rest, request_id in itertools.product(
            STATUSES, FRAMINGS.values(), ("r1", "r2", None)
        ):
            data = invalid_response(status, rest, request_id)
            connection = self.connect(True)
            self.outcome(connection, data + response("r2", b"new"))
            self.assertEqual(
                (200, b"new"), connection.response, (status, request_id)
            )
            self.assertFalse(connection.is_reusable, (status, request_id))

    # Guards against the same if the valid response is read later. A response
    # that names another request says nothing of the one in flight.
    def test_valid_response_in_a_later_read_is_found(self) -> None:
        for status, rest in itertools.product(STATUSES, FRAMINGS.values()):
            data = invalid_response(status, rest, "r1")
            connection = self.connect(True)
            self.assertEqual(
                (None, False), self.outcome(connection, data), status
            )
            self.outcome(connection, response("r2", b"new"))
            self.assertEqual((200, b"new"), connection.response, status)
            self.assertFalse(connection.is_reusable, status)

    # Guards against a request that waits for its deadline because the response
    # with the invalid status follows bytes of another response.
    def test_response_after_foreign_bytes_is_given_up(self) -> None:
        whole = response("r1", b"x" * 80)
        for status, foreign in itertools.product(
            STATUSES, (whole, whole[:-40], whole[: whole.index(b"Content")])
        ):
            for request_id in ("r2", None):
                outcome = self.outcome(
                    self.connect(True),
                    foreign,
                    invalid_response(status, request_id=request_id),
                )
                self.assertEqual(
                    (None, True), outcome, (status, request_id, foreign)
                )

    # Guards against a rejection that is made up of the beginning of one and a
    # response with an invalid status to a request that has run.
    def test_incomplete_rejection_before_it_is_not_taken(self) -> None:
        begin = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-A: "
        for status in STATUSES:
            outcome = self.outcome(
                self.connect(True), begin + invalid_response(status)
            )
            self.assertEqual((None, True), outcome, status)

    # Guards against valid responses that are taken for two incomplete ones,
    # since a proxy names itself after a version.
    def test_header_with_a_version_and_a_word_is_valid(self) -> None:
        via = "Via: 1.0 a, HTTP/1.1 proxy.example\r\n"
        connection = self.connect(True)
        data = invalid_response("200", headers=via)
        self.assertEqual(((200, b"hi"), False), self.outcome(connection, data))
        self.assertEqual(0, connection.mismatches)

    # Guards against a place in the bytes of other responses at which the next
    # response is missed, awaited for the whole deadline, or made up of two.
    def test_response_after_bytes_that_end_anywhere(self) -> None:
        rng = random.Random(5)
        rejection = (
            b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-A: b\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 11\r\n\r\nqueue full\n"
        )
        framings = list(FRAMINGS.values())
        for _ in range(1500):
            foreign = invalid_response(
                rng.choice(STATUSES), rng.choice(framings), "r1"
            )
            if rng.random() < 0.5:
                foreign = rejection
            foreign = foreign[: rng.randint(1, len(foreign))]
            if rng.random() < 0.5:
                whole = response("r1", b"x" * 80)
                foreign = whole[: rng.randint(20, len(whole))] + foreign
            invalid = invalid_response(
                rng.choice(STATUSES),
                rng.choice(framings),
                rng.choice(("r2", None)),
                signed=rng.random() < 0.5,
                headers=rng.choice(("", NOT_RUN)),
            )
            connection = self.connect(True)
            self.outcome(connection, foreign + response("r2", b"new"))
            self.assertEqual((200, b"new"), connection.response, foreign)
            connection = self.connect(True)
            outcome = self.outcome(connection, foreign + invalid)
            self.assertEqual((None, True), outcome, (foreign, invalid))
            # Junk alone ends the attempt before the response arrives.
            connection = self.connect(True)
            connection.feed(foreign)
            if not connection.out_of_sync:
                outcome = self.outcome(connection, invalid)
                self.assertEqual((None, True), outcome, (foreign, invalid))
            connection = self.connect(True)
            connection.feed(foreign)
            if not connection.out_of_sync:
                connection.feed(response("r2", b"new"))
                self.assertEqual((200, b"new"), connection.response, foreign)

    # Guards against the loss of valid responses by too strict a check.
    def test_valid_statuses_stay_valid(self) -> None:
        for status in (200, 299, 404, 499, 500, 599):
            outcome = self.outcome(
                self.connect(True), invalid_response(str(status))
            )
            self.assertEqual(((status, b"hi"), False), outcome)

    def test_interim_response_stays_interim(self) -> None:
        for status in (100, 102, 103, 199):
            interim = f"HTTP/1.1 {status} X\r\nLink: x\r\n\r\n".encode()
            for reused in (False, True):
                connection = self.connect(reused)
                outcome = self.outcome(connection, interim)
                self.assertEqual((None, False), outcome, status)
                self.outcome(connection, response("r2", b"new"))
                self.assertEqual((200, b"new"), connection.response)
                self.assertTrue(connection.is_reusable)

    # Guards against a request that waits after an unexpected 101.
    def test_switch_of_protocols_is_given_up(self) -> None:
        data = b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"
        for reused in (False, True):
            outcome = self.outcome(self.connect(reused), data)
            self.assertEqual((None, True), outcome)


class PoolTest(RelayPoolsCase):
    """The same with sockets, through the pool."""

    # Guards against a caller that gets such a status, waits for its deadline,
    # or whose request is taken as one that has not run; and against a request
    # that is taken for one that crashes upstreams.
    def test_attempt_is_lost_at_once(self) -> None:
        wrong = []
        for status, (framing, rest), signed, reused in itertools.product(
            STATUSES, FRAMINGS.items(), (False, True), (False, True)
        ):
            if reused:
                self.send(1)
                sock = self.accept()
                sock.sendall(response("r1"))
                self.reply()
            self.send(2, idempotent=False)
            if reused:
                sock.recv(4096)
            else:
                sock = self.accept()
            sock.sendall(
                invalid_response(status, rest, signed=signed, headers=NOT_RUN)
            )
            self.bench.turn(8)
            ends = [
                (reply.end, reply.status, reply.connection_closed)
                for reply in self.sink.replies
            ]
            if ends != [(AttemptEnd.LOST, 0, False)]:
                wrong.append((status, framing, signed, reused, ends))
            self.sink.replies.clear()
            self.relay_pools.jobs.clear()
            self.relay_pools.retire("i-1")
            sock.close()
            self.bench.turn(4)
            self.sink.replies.clear()
        self.assertEqual([], wrong)

    # Guards against a connection that stays in use after such a response, and
    # against a log line and counter that blame bytes without a request.
    def test_connection_is_closed_and_counted(self) -> None:
        for status in STATUSES:
            self.send(2)
            sock = self.accept()
            sock.sendall(invalid_response(status))
            self.assertIs(AttemptEnd.LOST, self.reply().end)
            self.assertEqual(b"", sock.recv(4096), status)
        protocol = self.relay_pools.protocol
        self.assertEqual(len(STATUSES), protocol.invalid_statuses)
        self.assertEqual(0, protocol.unsolicited)

    # Guards against an upstream that is taken for one that went away.
    def test_next_request_uses_a_new_connection(self) -> None:
        self.send(1)
        sock = self.accept()
        sock.sendall(invalid_response("999", request_id="r1"))
        self.assertIs(AttemptEnd.LOST, self.reply().end)
        self.send(2)
        other = self.accept()
        other.sendall(response("r2", b"new"))
        reply = self.reply()
        self.assertEqual((AttemptEnd.RESULT, b"new"), (reply.end, reply.body))
        self.assertEqual([], self.relay_pools.idle_closes)


def with_status(data: bytes, status: str) -> bytes:
    """Returns a response with another status."""
    _, _, rest = data.partition(b" 200 ")
    return b"HTTP/1.1 " + status.encode() + b" " + rest


class OwnInterfaceTest(testtools.TestCase):
    """Upstreams of the project's own interface."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.raw = RawUpstream()
        self.addCleanup(self.raw.listener.close)
        self.pools = UpstreamPools(
            self.bench.hub, self.bench.timers, "queries"
        ).register(self.bench)
        self.pools.probe_due = lambda _upstream: False
        self.pools.on_configured(configuration(u=self.raw.port))

    def dispatch(self, number: int):
        """Returns the socket on which an attempt is in flight."""
        self.pools.on_dispatch([attempt(number, self.bench.now + 2.0)])
        self.bench.turn()

    # Guards against a search that waits for its deadline, and against a reply
    # whose hits are used although its status is invalid.
    def test_attempt_is_invalid_at_once(self) -> None:
        wrong = []
        for status, reused in itertools.product(STATUSES, (False, True)):
            self.dispatch(1)
            sock = self.raw.accept()
            self.bench.turn()
            sock.recv(4096)
            if reused:
                sock.sendall(result(1))
                self.bench.turn_until(lambda: self.bench.replies)
                self.bench.replies.clear()
                self.dispatch(2)
                sock.recv(4096)
            sock.sendall(with_status(result(2 if reused else 1), status))
            self.bench.turn(8)
            kinds = [reply.kind for reply in self.bench.replies]
            if kinds != [ReplyKind.INVALID]:
                wrong.append((status, reused, kinds))
            sock.close()
            self.bench.turn(4)
            self.bench.replies.clear()
        self.assertEqual([], wrong)
        count = self.pools.protocol.invalid_statuses
        self.assertEqual(2 * len(STATUSES), count)

    # Guards against the state of an upstream that is taken from such a
    # response to a probe.
    def test_probe_is_not_used(self) -> None:
        reports = []
        self.patch(
            searchjobs,
            "decode_status_report",
            lambda *arguments: reports.append(arguments),
        )
        self.pools.probe_due = lambda _upstream: True
        for status in STATUSES:
            self.pools.probe_all()
            self.bench.turn()
            sock = self.raw.accept()
            self.bench.turn()
            self.assertEqual(STATUS_REQUEST, sock.recv(4096))
            sock.sendall(with_status(STATUS, status))
            self.bench.turn()
            self.assertEqual([], reports, status)
            self.assertEqual(b"", sock.recv(4096), status)


class StoreTest(testtools.TestCase):
    """The client of the store."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = ComponentBench()
        self.raw = RawUpstream()
        self.addCleanup(self.raw.listener.close)
        self.address = (LOOPBACK, self.raw.port)

    # Guards against a call that counts as done, or waits for its timeout, and
    # against an era that is taken from such a response.
    def test_call_is_failed_at_once(self) -> None:
        store = PlatformClient(
            self.bench.hub, self.bench.timers, [self.address]
        ).register(self.bench)
        body = b'{"items": [], "events": [], "current_rev": 7, "lease": 1}'
        wrong = []
        for status, request in itertools.product(
            STATUSES,
            (
                page_request("", ""),
                watch_request("", 1, 3.0),
                write_request("k", b"v", 1),
                create_lease_request(9.0),
                renew_lease_request(1),
            ),
        ):
            results = []
            store.send_call(request, ("t", "call"), results.append)
            self.bench.turn()
            sock = self.raw.accept()
            self.bench.turn()
            sock.recv(4096)
            head = f"HTTP/1.1 {status} X\r\nStore-Era: 9\r\n"
            sock.sendall(
                f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            self.bench.turn(8)
            found = [result.status for result in results]
            if found != [StoreStatus.UNAVAILABLE]:
                wrong.append((status, request.path, found))
            sock.close()
            self.bench.turn(4)
        self.assertEqual([], wrong)
        self.assertIsNone(store.era)

    # Guards against a decoder that takes any other status than an error for a
    # success.
    def test_invalid_status_is_not_decoded(self) -> None:
        def decode(token, _status, _body):
            raise AssertionError(token)

        call = OpenCall(("t", "call"), lambda _result: None, 1, decode, None)
        for status in (0, 99, 600, 999):
            self.assertIs(
                StoreStatus.UNAVAILABLE,
                decode_result(call, status, b"{}").status,
            )

    # Guards against a step of a command that counts as done.
    def test_blocking_client_fails_the_call(self) -> None:
        step = StoreGet(("t", "get"), "k")
        for status in STATUSES:
            body = b'[{"Value": "eA==", "ModifyIndex": 1}]'
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}"

            def serve(data: bytes = head.encode() + b"\r\n\r\n" + body) -> None:
                sock = self.raw.accept()
                sock.recv(4096)
                sock.sendall(data)
                sock.close()

            thread = threading.Thread(target=serve)
            thread.start()
            found = storeclient.call(step, self.address, "n")
            thread.join()
            self.assertIs(StoreStatus.UNAVAILABLE, found.status, status)
