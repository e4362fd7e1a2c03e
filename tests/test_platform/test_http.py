"""Tests of the platform's HTTP headers and statuses."""

from __future__ import annotations

import math
import random

import testtools
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from arbutusbridge.forwarding import (
    Announcement,
    AttemptEnd,
    Forwarder,
    Load,
    Locality,
    MergedAnswer,
    Refusal,
    RefusedAnswer,
    RelayedAnswer,
    RetryBudgetLimits,
    Route,
    RoutingConfiguration,
    SendAttempt,
    UpstreamReply,
    WeightedService,
)
from arbutusbridge.forwarding.model import Account
from arbutusbridge.forwarding.terms import UpstreamTerms
from arbutusbridge.forwarding.wireformat import ResponseIdentity
from arbutusbridge.platform import http

HEADERS = [
    (b"Host", b"Desk.example:80"),
    (b"X-Request-Id", b"r1"),
    (b"X-Deadline-Ms", b"500"),
    (b"Accept", b"*/*"),
    (b"Connection", b"keep-alive, X-Hop"),
    (b"X-Hop", b"1"),
    (b"Transfer-Encoding", b"chunked"),
]
STAMP = (b"X-Server-Stamp", b"a.1")
UPSTREAM = Announcement("i-1", "records", ("10.0.0.9", 80), "north")


def decode(headers=HEADERS, method="POST", body=b"ab"):
    """Decodes a caller's request."""
    return http.decode_request(method, "/a/b?c", headers, body, 10.0)


def text_of(answer, keep_alive=True, idle_timeout_s=0) -> str:
    """Returns an encoded answer as text."""
    encoded = http.encode_answer(answer, keep_alive, idle_timeout_s)
    return encoded.decode("latin-1")


class RequestTest(testtools.TestCase):
    """Decoding of requests, and their encoding for upstreams."""

    def test_hop_by_hop_headers_are_removed(self) -> None:
        request = decode().ok_value
        self.assertEqual("desk.example", request.host)
        self.assertEqual(10.5, request.deadline)
        names = [name.lower() for name, _ in request.headers]
        self.assertEqual([b"host", b"x-request-id", b"accept"], names)

    def test_attempt_has_remaining_deadline_and_upstream_id(self) -> None:
        request = decode().ok_value
        send = SendAttempt(1, UPSTREAM, request, 10.4, True)
        head, body = http.encode_attempt(send, 10.1).split(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        self.assertEqual(b"POST /a/b?c HTTP/1.1", lines[0])
        for line in (
            b"X-Deadline-Ms: 300",
            b"X-Expect-Instance: i-1",
            b"X-Request-Id: r1",
            b"Host: Desk.example:80",
            b"Content-Length: 2",
        ):
            self.assertIn(line, lines)
        self.assertEqual(b"ab", body)

    def test_missing_deadline_is_infinite(self) -> None:
        headers = [pair for pair in HEADERS if pair[0] != b"X-Deadline-Ms"]
        self.assertEqual(math.inf, decode(headers).ok_value.deadline)

    def test_invalid_requests_are_errors(self) -> None:
        without_id = [pair for pair in HEADERS if pair[0] != b"X-Request-Id"]
        self.assertIsInstance(decode(without_id), Err)
        for value in (b"soon", b"-1", b"nan", b"1e99"):
            headers = [*HEADERS, (b"X-Deadline-Ms", value)]
            self.assertIsInstance(decode(headers), Err)


KEY = (b"Authorization", b"Token k-1")
ACCOUNTS = (Account("acme", ("k-1",)),)
CLAIMED = [(b"X-Tenant", b"a"), (b"x-TENANT", b"b"), (b"X-TENANT", b"a")]


class IdentityTest(testtools.TestCase):
    """Headers of client accounts between callers and upstreams.

    Guards against a key that reaches an upstream, and an account that a caller
    has claimed.
    """

    def sent(self, headers, accounts=ACCOUNTS):
        """Returns the header lines that an upstream gets, None for a 401."""
        route = Route(
            "r",
            "desk.example",
            "/a/",
            True,
            2.0,
            0.2,
            services=(WeightedService("records"),),
        )
        forwarder = Forwarder(
            Locality("north", {}),
            RetryBudgetLimits(0.2, 50.0, 10.0),
            random.Random(1),
        )
        forwarder.configure(
            RoutingConfiguration(1, (route,), accounts=accounts)
        )
        forwarder.announce(UPSTREAM, 0.0)
        request = decode([*HEADERS, *headers]).ok_value
        out = forwarder.handle_request(request, 10.0)
        sends = [one for one in out if isinstance(one, SendAttempt)]
        if not sends:
            (answer,) = [one for one in out if isinstance(one, RefusedAnswer)]
            self.assertIs(Refusal.UNAUTHORIZED, answer.refusal)
            return None
        encoded = http.encode_attempt(sends[0], 10.1)
        return encoded.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]

    def check_identity(self, lines) -> None:
        """Checks that the only account is ours, and that there is no key."""
        names = [line.partition(b":")[0].lower() for line in lines]
        self.assertEqual(1, names.count(b"x-tenant"))
        self.assertIn(b"X-Tenant: acme", lines)
        self.assertNotIn(b"authorization", names)
        self.assertFalse([line for line in lines if b"k-1" in line])

    def test_only_our_account_header_reaches_upstreams(self) -> None:
        for name in (b"Authorization", b"authorization", b"AUTHORIZATION"):
            self.check_identity(self.sent([(name, KEY[1]), *CLAIMED]))

    # A header that Connection names belongs to this connection alone.
    def test_headers_that_connection_names_are_handled(self) -> None:
        for value in (
            b"Authorization",
            b"x-tenant",
            b"AUTHORIZATION, X-Tenant",
        ):
            named = (b"Connection", value)
            self.check_identity(self.sent([named, KEY, *CLAIMED]))
            self.assertIsNone(self.sent([named, *CLAIMED]))
            self.assertIsNone(self.sent([named, KEY, KEY]))

    def test_without_accounts_both_headers_are_passed_on(self) -> None:
        lines = self.sent([KEY, *CLAIMED], None)
        for name, value in (KEY, *CLAIMED):
            self.assertIn(name + b": " + value, lines)

    # Guards against an exception for each request of such an account.
    def test_account_name_may_have_any_letters(self) -> None:
        accounts = (Account("\u540d \u00e9", ("k-1",)),)
        lines = self.sent([KEY], accounts)
        self.assertIn("X-Tenant: \u540d \u00e9".encode(), lines)

    def test_unauthorized_answer_names_the_scheme(self) -> None:
        request = decode().ok_value
        text = text_of(RefusedAnswer(request, Refusal.UNAUTHORIZED, None))
        self.assertTrue(text.startswith("HTTP/1.1 401 Unauthorized\r\n"))
        self.assertIn("\r\nWWW-Authenticate: Token\r\n", text)

    def test_representation_of_a_request_has_no_key(self) -> None:
        self.assertNotIn("k-1", repr(decode([*HEADERS, KEY]).ok_value))


class ReplyTest(testtools.TestCase):
    """Decoding of upstreams' responses."""

    def end(self, status, *headers):
        return http.decode_reply(1, status, list(headers), b"x").end

    def test_outcome_of_each_response(self) -> None:
        for expected, status, headers in (
            (AttemptEnd.RESULT, 200, [STAMP]),
            (AttemptEnd.LOST, 200, []),
            (AttemptEnd.LOST, 200, [STAMP, (b"Content-Encoding", b"gzip")]),
            (AttemptEnd.FAILED, 500, [STAMP]),
            (AttemptEnd.FAILED, 504, [STAMP]),
            (AttemptEnd.LOST, 500, []),
            (AttemptEnd.SHED, 503, [(b"X-Not-Executed", b"1")]),
            (AttemptEnd.MISDIRECTED, 421, []),
        ):
            self.assertIs(expected, self.end(status, *headers))

    # Guards against a caller that gets a status which HTTP does not have, and
    # against a request that is sent again although it may have run, because an
    # upstream in trouble says that it has not.
    def test_invalid_status_is_no_response(self) -> None:
        for status in (0, 9, 42, 99, 600, 999, 1000, 9999):
            for headers in (
                [],
                [STAMP],
                [STAMP, (b"X-Not-Executed", b"1")],
                [(b"X-Not-Executed", b"1")],
            ):
                stamp = "a.1" if STAMP in headers else ""
                values = {name.lower(): value for name, value in headers}
                end, detail = http.classify_response(status, values, stamp)
                self.assertIs(AttemptEnd.LOST, end, status)
                self.assertIn("invalid status", detail)

    # Guards against what such a response says of its upstream: a load, a rate
    # limit, a pause, or that the upstream is leaving.
    def test_nothing_is_learned_from_an_invalid_status(self) -> None:
        headers = [
            STAMP,
            (b"X-Server-Load", b"3,0,8"),
            (b"Server-Limit", b"1"),
            (b"Server-Leaving", b"1"),
            (b"Retry-After", b"9"),
        ]
        reply = http.decode_reply(1, 600, headers, b"x")
        self.assertEqual(
            UpstreamReply(1, AttemptEnd.LOST, detail=reply.detail), reply
        )

    def test_signature_with_a_comma_is_rejected(self) -> None:
        forged = (b"X-Server-Stamp", b"a.1, b.2")
        self.assertIs(AttemptEnd.LOST, self.end(200, forged))

    def test_decoding_of_reported_load(self) -> None:
        self.assertEqual(Load(3, 0, 8), http.decode_load(b"3,0,8"))
        self.assertEqual(Load(3, 0, 8, 2.5), http.decode_load(b"3,0,8,250"))
        for value in (None, b"", b"1,2", b"a,b,c", b"-1,0,2", b"1,0,2,100,x"):
            self.assertIsNone(http.decode_load(value))

    # Guards against a figure that no later calculation can use (review/13).
    def test_load_of_many_digits_is_invalid(self) -> None:
        for place in range(4):
            parts = [b"1"] * 4
            parts[place] = b"9" * 400
            self.assertIsNone(http.decode_load(b",".join(parts)))

    def test_decoding_of_rate_limits(self) -> None:
        def decode_limit(*headers, status=200):
            return http.decode_reply(1, status, [STAMP, *headers], b"").terms

        self.assertEqual(UpstreamTerms(), decode_limit())
        for value, expected in (
            (b"13.8", 13.8),
            (b"0", 0.0),
            (b".25", 0.25),
            (b"-3", 0.0),
            (b"1" + b"0" * 400, None),
        ):
            terms = decode_limit((b"Server-Limit", value))
            self.assertEqual(UpstreamTerms(expected), terms)
        for value in (b"", b"many", b"nan", b"inf", b"1e3", b"1_0", b"1,5"):
            self.assertIsNone(decode_limit((b"Server-Limit", value)))
        # The response of another upstream says nothing about this one.
        self.assertIsNone(decode_limit((b"Server-Limit", b"1"), status=421))

    @given(st.binary(max_size=40), st.integers(200, 599))
    def test_any_header_is_accepted_fuzz(
        self, value: bytes, status: int
    ) -> None:
        for name in (
            b"X-Server-Stamp",
            b"X-Server-Load",
            b"Server-Limit",
            b"Keep-Alive",
        ):
            http.decode_reply(1, status, [(name, value)], b"")

    def test_response_names_its_request_and_signature(self) -> None:
        self.assertEqual(ResponseIdentity(None, ""), http.read_identity({}))
        headers = {b"x-request-id": b"r1", b"x-server-stamp": b"a.1"}
        self.assertEqual(
            ResponseIdentity("r1", "a.1"), http.read_identity(headers)
        )


class AnswerTest(testtools.TestCase):
    """Encoding of answers to callers."""

    def test_upstream_response_is_relayed_unchanged(self) -> None:
        headers = [STAMP, (b"Keep-Alive", b"timeout=5"), (b"X-Other", b"o")]
        reply = http.decode_reply(1, 200, headers, b"body")
        text = text_of(RelayedAnswer(decode().ok_value, reply))
        self.assertIn("X-Server-Stamp: a.1\r\n", text)
        self.assertIn("X-Other: o\r\n", text)
        self.assertNotIn("Keep-Alive", text)
        self.assertTrue(text.endswith("Content-Length: 4\r\n\r\nbody"))

    def test_merged_answer_lists_stamps_and_missing_shards(self) -> None:
        answer = MergedAnswer(decode().ok_value, ["a.1", "b.2"], 1, b"r" * 16)
        text = text_of(answer, keep_alive=False)
        self.assertIn("X-Shard-Stamps: a.1, b.2\r\n", text)
        self.assertIn("X-Shards-Missing: 1\r\n", text)
        self.assertIn("Connection: close\r\n", text)

    def test_status_503_means_that_nothing_ran(self) -> None:
        for refusal, status in (
            (Refusal.NOT_READY, 503),
            (Refusal.UNSERVABLE, 503),
            (Refusal.NO_ROUTE, 404),
            (Refusal.LOST, 502),
            (Refusal.TIMED_OUT, 504),
        ):
            text = text_of(RefusedAnswer(decode().ok_value, refusal, 0.25))
            self.assertTrue(text.startswith(f"HTTP/1.1 {status} "))
            self.assertIn("Retry-After: 0.250\r\n", text)

    def test_answer_to_head_has_no_body(self) -> None:
        request = decode(method="HEAD", body=b"").ok_value
        reply = UpstreamReply(1, AttemptEnd.RESULT, 200, [STAMP], b"abc")
        text = text_of(RelayedAnswer(request, reply))
        self.assertTrue(text.endswith("\r\n\r\n"))
