"""Fuzz tests of the request parser and the body validation."""

from __future__ import annotations

from urllib.parse import urlsplit

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusbridge.daemon.bodies import RecordBody, SearchBody, parse_body
from arbutusbridge.daemon.requestparser import ParsedRequest, RequestParser
from arbutusbridge.settings.instance import CallerLimits

LIMITS = CallerLimits(body_bytes=64, header_bytes=256, header_count=4)
PIECES = [
    b"POST /v1/search HTTP/1.1\r\n",
    b"GET / HTTP/1.0\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 99\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"Connection: close\r\n",
    b"Idempotency-Key: a\r\n",
    b"\r\n",
    b"abc",
    b"3\r\nabc\r\n",
    b"0\r\n\r\n",
    b"\0",
]
STREAM = st.lists(
    st.sampled_from(PIECES) | st.binary(max_size=4), max_size=12
).map(b"".join)


def parse(segments: list[bytes]) -> tuple[list[ParsedRequest], bool]:
    """Parses segments; returns the requests and whether one was refused."""
    parser = RequestParser(LIMITS)
    for segment in segments:
        parser.feed(segment)
    return list(parser.queue), parser.refusal is not None


class RequestParserFuzzTest(testtools.TestCase):
    """Fuzz tests with arbitrary bytes in arbitrary segments."""

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(STREAM, st.integers(1, 9))
    def test_segments_do_not_matter(self, data: bytes, step: int) -> None:
        pieces = [data[at : at + step] for at in range(0, len(data), step)]
        self.assertEqual(parse([data]), parse(pieces))

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(STREAM)
    def test_encoded_request_parses_as_one_request(self, data: bytes) -> None:
        for request in parse([data])[0]:
            again, refused = parse([request.encode()])
            self.assertEqual(
                ([request.body], False), ([again[0].body], refused)
            )
            self.assertEqual(1, len(again))

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.text('a=%&?#/+" \r\n\x00\xe9', max_size=12))
    def test_kept_query_stays_in_one_request(self, query: str) -> None:
        """Guards against a query that circuits.web cuts or takes for more."""
        parser = RequestParser(LIMITS, keeps_query=True)
        line = f"GET /explain?{query} HTTP/1.1\r\nHost: a\r\n\r\n"
        parser.feed(line.encode("latin-1"))
        for request in parser.queue:
            self.assertTrue(request.path.isascii())
            self.assertEqual("/explain", urlsplit(request.path).path)
            self.assertEqual("", urlsplit(request.path).fragment)
            (again,), _ = parse([request.encode()])
            self.assertEqual("/explain", again.path)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.binary(max_size=40) | st.text(max_size=40).map(str.encode))
    def test_any_body_is_accepted_or_explained(self, body: bytes) -> None:
        for model in (SearchBody, RecordBody):
            parsed = parse_body(body, model, 32)
            self.assertTrue(parsed.is_ok() or parsed.err_value)
