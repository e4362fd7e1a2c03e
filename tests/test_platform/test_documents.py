"""Tests of the announcements of upstreams."""

from __future__ import annotations

import json

import testtools
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from arbutusbridge.platform.documents import decode_announcement

ENTRY = {
    "service": "s0",
    "addr": "10.0.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 1500,
    "seq": 4,
    "born": 1700000000000,
}


class AnnouncementTest(testtools.TestCase):
    """Decoding of the announcements of upstreams."""

    def decode(self, **changes):
        value = json.dumps(ENTRY | changes).encode()
        return decode_announcement("servers/i-1", value)

    def test_id_comes_from_the_key(self) -> None:
        found = self.decode().ok_value
        self.assertEqual("i-1", found.upstream)
        self.assertEqual(("10.0.0.9", 8080), found.address)
        self.assertEqual(1.5, found.warm_up_s)
        self.assertFalse(found.leaving)
        self.assertTrue(self.decode(state="draining").ok_value.leaving)

    def test_invalid_announcements_are_errors(self) -> None:
        for changes in (
            {"state": "odd"},
            {"addr": "nowhere"},
            {"addr": 5},
            {"slots": "2"},
            {"service": None},
            {"version": 1},
            {"seq": "4"},
        ):
            self.assertIsInstance(self.decode(**changes), Err)

    # Guards against an upstream that is not used because of its encoder.
    def test_whole_numbers_may_have_a_fraction_of_0(self) -> None:
        changes = {"slots": 2.0, "seq": 4.0, "born": 1700000000000.0}
        found = self.decode(**changes).ok_value
        self.assertEqual((2, 1700000000000), (found.slots, found.started_ms))
        for name in changes:
            self.assertIsInstance(self.decode(**{name: 4.5}), Err)

    # Guards against an entry of another writer that is used (review/11).
    def test_missing_fields_are_errors(self) -> None:
        for name in set(ENTRY) - {"born"}:
            row = {key: value for key, value in ENTRY.items() if key != name}
            found = decode_announcement("servers/i", json.dumps(row).encode())
            self.assertIsInstance(found, Err, name)

    @given(st.binary(max_size=60))
    def test_damage_is_an_error_fuzz(self, value: bytes) -> None:
        self.assertIsInstance(decode_announcement("servers/i", value), Err)
