"""Tests of the messages between forwarding instances."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from arbutusbridge.errors import ProtocolError
from arbutusbridge.forwarding.gather import (
    GatherAck,
    GatherCancel,
    GatherReply,
    GatherRequest,
)
from arbutusbridge.forwarding.gatherwire import (
    PROTOCOL,
    InstanceRecord,
    decode_card,
    decode_message,
    encode_card,
    encode_message,
)

ASK = GatherRequest(
    7,
    ("10.0.0.1", 7380),
    "r1",
    "GET",
    "/leases/1?full",
    "desk.example",
    [(b"Accept", b"*/*")],
    b"\0\xff",
    ["s1", "s2"],
    0.2,
    1.9,
)


class MessageTest(testtools.TestCase):
    """What is written is read back."""

    def test_each_kind_comes_back_as_it_was(self) -> None:
        for message in (
            ASK,
            GatherAck(7, True),
            GatherReply(7, {"s1": "a.1"}, b"x" * 32),
            GatherCancel(7, ("10.0.0.1", 7380)),
        ):
            self.assertEqual(message, decode_message(encode_message(message)))

    @given(st.binary(max_size=64))
    def test_damage_is_a_typed_error_fuzz(self, data: bytes) -> None:
        for text in (data, PROTOCOL + data):
            try:
                decode_message(text)
            except ProtocolError:
                continue

    def test_card_comes_back_and_others_are_none(self) -> None:
        card = InstanceRecord("north", "10.0.0.1", 7380)
        self.assertEqual(card, decode_card(encode_card(card)))
        for value in (b"", b"{}", b'{"data_centre": 1}'):
            self.assertIsNone(decode_card(value))
