"""Tests of the messages between forwarding instances."""

from __future__ import annotations

import dataclasses
import json
import zlib
from pathlib import Path

import msgpack
import testtools
from hypothesis import given
from hypothesis import strategies as st

from arbutusbridge.errors import ProtocolError, UnknownMessageError
from arbutusbridge.forwarding.following import unpack_items
from arbutusbridge.forwarding.gather import (
    ACCOUNTS_PROTOCOL,
    GatherAck,
    GatherReply,
)
from arbutusbridge.forwarding.gatherwire import (
    CURRENT_PROTOCOL,
    FIELDS,
    MESSAGE_TYPES,
    OLDEST_FIELD_COUNTS,
    OLDEST_PROTOCOL,
    InstanceRecord,
    decode_instance_record,
    decode_message,
    encode_instance_record,
    encode_message,
)
from arbutusbridge.forwarding.quotamessages import QuotaAck, QuotaGrant
from tests.test_forwarding.messagesamples import (
    CLAIM_SAMPLES,
    LATER_SAMPLES,
    QUOTA_SAMPLES,
    SAMPLES,
    TERMS_SAMPLES,
)

FOLDER = Path(__file__).parent
OLDEST_ENCODINGS = json.loads((FOLDER / "messages_15.json").read_text())
CURRENT_ENCODINGS = json.loads((FOLDER / "messages_16.json").read_text())
LATER_ENCODINGS = json.loads((FOLDER / "messages_17.json").read_text())
TERMS_ENCODINGS = json.loads((FOLDER / "messages_18.json").read_text())
CLAIM_ENCODINGS = json.loads((FOLDER / "messages_quota_18.json").read_text())
QUOTA_ENCODINGS = json.loads((FOLDER / "messages_quota_17.json").read_text())


class MessageTest(testtools.TestCase):
    """Round trips of encoded messages."""

    def test_every_message_type_round_trips(self) -> None:
        for message in (
            *SAMPLES.values(),
            *LATER_SAMPLES.values(),
            *QUOTA_SAMPLES.values(),
            *TERMS_SAMPLES.values(),
            *CLAIM_SAMPLES.values(),
            GatherReply(7, {"s1": "a.1"}, b"x" * 32, is_final=False),
        ):
            self.assertEqual(message, decode_message(encode_message(message)))
        samples = [
            *SAMPLES.values(),
            *LATER_SAMPLES.values(),
            *QUOTA_SAMPLES.values(),
            *CLAIM_SAMPLES.values(),
        ]
        kinds = {type(message) for message in samples}
        self.assertEqual(set(MESSAGE_TYPES), kinds)

    # Guards against a key in the log line of a message that is refused.
    def test_errors_do_not_quote_the_message(self) -> None:
        request = SAMPLES["request"]
        for changes in (
            {"headers": [[b"name", b"secret-1", b"more"]]},
            {"headers": "secret-1"},
            {"body": ["secret-1"]},
            {"answer_in_s": "secret-1"},
            {"homes": [["secret-1"]]},
        ):
            data = encode_message(dataclasses.replace(request, **changes))
            err = self.assertRaises(ProtocolError, decode_message, data)
            self.assertIn(next(iter(changes)), str(err))
            self.assertNotIn("secret", str(err))
        rows = [("op/config", b"{}", b"secret-1")]
        packed = zlib.compress(msgpack.packb(rows))
        err = self.assertRaises(ProtocolError, unpack_items, packed)
        self.assertNotIn("secret", str(err))

    @given(st.binary(max_size=64))
    def test_damage_is_a_typed_error_fuzz(self, data: bytes) -> None:
        for text in (
            data,
            bytes([CURRENT_PROTOCOL]) + data,
            bytes([OLDEST_PROTOCOL]) + data,
        ):
            try:
                decode_message(text)
            except (ProtocolError, UnknownMessageError):
                continue


class BuildsTest(testtools.TestCase):
    """Messages between this build and others, during an update.

    The encodings in the data files are those of released builds. Guards against
    a change of a message that such a build does not understand.
    """

    def test_messages_of_released_builds_are_understood(self) -> None:
        for name, message in SAMPLES.items():
            for encodings in (OLDEST_ENCODINGS, CURRENT_ENCODINGS):
                if name in encodings:
                    found = decode_message(bytes.fromhex(encodings[name]))
                    self.assertEqual(message, found)

    def test_messages_to_released_builds_are_unchanged(self) -> None:
        for name, message in SAMPLES.items():
            for protocol, encodings in (
                (0, OLDEST_ENCODINGS),
                (OLDEST_PROTOCOL, OLDEST_ENCODINGS),
                (CURRENT_PROTOCOL, CURRENT_ENCODINGS),
                (CURRENT_PROTOCOL + 1, CURRENT_ENCODINGS),
            ):
                if type(message) in OLDEST_FIELD_COUNTS or protocol > (
                    OLDEST_PROTOCOL
                ):
                    encoded = encode_message(message, protocol).hex()
                    self.assertEqual(encodings[name], encoded)

    # Guards against a change of what builds of protocol 0x17 rely on.
    def test_later_encodings_are_unchanged(self) -> None:
        self.assertEqual(LATER_ENCODINGS.keys(), LATER_SAMPLES.keys())
        for name, message in LATER_SAMPLES.items():
            encoding = LATER_ENCODINGS[name]
            found = decode_message(bytes.fromhex(encoding))
            self.assertEqual(message, found)
            for protocol in (
                ACCOUNTS_PROTOCOL,
                CURRENT_PROTOCOL,
                CURRENT_PROTOCOL + 1,
            ):
                encoded = encode_message(message, protocol).hex()
                self.assertEqual(encoding, encoded)

    # Guards against a change of what builds of protocol 0x18 rely on, and
    # against a message that an earlier build takes for a damaged one.
    def test_terms_are_those_of_their_protocol(self) -> None:
        self.assertEqual(TERMS_ENCODINGS.keys(), TERMS_SAMPLES.keys())
        for name, message in TERMS_SAMPLES.items():
            encoding = TERMS_ENCODINGS[name]
            self.assertEqual(encoding, encode_message(message).hex())
            self.assertEqual(message, decode_message(bytes.fromhex(encoding)))
            oldest = encode_message(message, OLDEST_PROTOCOL)
            if name == "reply":
                # Its request has shown that the receiver understands it.
                self.assertEqual(encoding, oldest.hex())
            else:
                self.assertEqual(SAMPLES["request"], decode_message(oldest))

    # Guards against a message that an earlier build takes for a damaged one.
    # What it may be sent is decided by placement.accepts.
    def test_account_and_homes_are_left_out_for_the_oldest_build(self) -> None:
        for name in ("account", "homes"):
            message = LATER_SAMPLES[name]
            for protocol in (0, OLDEST_PROTOCOL):
                encoded = encode_message(message, protocol).hex()
                self.assertEqual(OLDEST_ENCODINGS["request"], encoded)

    # Guards against a change of a quota message that a released build of
    # protocol 0x17 misreads, and against one that an earlier build is sent.
    def test_quota_messages_are_those_of_their_protocol(self) -> None:
        self.assertEqual(QUOTA_ENCODINGS.keys(), QUOTA_SAMPLES.keys())
        for name, message in QUOTA_SAMPLES.items():
            encoding = QUOTA_ENCODINGS[name]
            self.assertEqual(encoding, encode_message(message).hex())
            self.assertEqual(message, decode_message(bytes.fromhex(encoding)))
            if isinstance(message, QuotaAck | QuotaGrant):
                # The sender of what it replies to understands it.
                self.assertEqual(encoding, encode_message(message, 0).hex())
            else:
                self.assertRaises(
                    UnknownMessageError,
                    encode_message,
                    message,
                    OLDEST_PROTOCOL,
                )

    # Guards against a change of what builds of protocol 0x18 rely on for the
    # hand-over of quotas.
    def test_claims_are_those_of_their_protocol(self) -> None:
        self.assertEqual(CLAIM_ENCODINGS.keys(), CLAIM_SAMPLES.keys())
        for name, message in CLAIM_SAMPLES.items():
            encoding = CLAIM_ENCODINGS[name]
            self.assertEqual(encoding, encode_message(message).hex())
            self.assertEqual(message, decode_message(bytes.fromhex(encoding)))
        claim = CLAIM_SAMPLES["claim"]
        self.assertRaises(
            UnknownMessageError, encode_message, claim, OLDEST_PROTOCOL
        )
        # The sender of the claim understands the reply.
        reply = CLAIM_SAMPLES["yield"]
        self.assertEqual(encode_message(reply), encode_message(reply, 0))

    def test_added_fields_have_defaults(self) -> None:
        for kind, count in OLDEST_FIELD_COUNTS.items():
            for field in FIELDS[kind][count:]:
                self.assertTrue(
                    field.default is not dataclasses.MISSING
                    or field.default_factory is not dataclasses.MISSING,
                    f"{kind.__name__}.{field.name}",
                )

    def test_added_fields_are_left_out_for_the_oldest_build(self) -> None:
        plain = SAMPLES["request"]
        extended = dataclasses.replace(
            plain, accepts_updates=True, reports_first=True
        )
        found = decode_message(encode_message(extended, OLDEST_PROTOCOL))
        self.assertEqual(plain, found)

    def test_era_is_left_out_for_the_oldest_build(self) -> None:
        plain = SAMPLES["update"]
        extended = dataclasses.replace(plain, era=3)
        found = decode_message(encode_message(extended, OLDEST_PROTOCOL))
        self.assertEqual(plain, found)
        self.assertEqual(extended, decode_message(encode_message(extended)))

    # Guards against an acknowledgement that the build in production rejects.
    def test_lag_and_occupancy_are_left_out_for_the_oldest_build(self) -> None:
        plain = SAMPLES["ack"]
        extended = dataclasses.replace(plain, lag_ms=40, occupancy=0.75)
        found = decode_message(encode_message(extended, OLDEST_PROTOCOL))
        self.assertEqual(plain, found)
        self.assertEqual(extended, decode_message(encode_message(extended)))

    # Guards against an update that is taken for the final reply, because the
    # key of its receiver is not known yet.
    def test_update_is_never_sent_as_a_final_reply(self) -> None:
        update = GatherReply(7, {"s1": "a.1"}, b"", is_final=False)
        for protocol in (0, OLDEST_PROTOCOL, CURRENT_PROTOCOL):
            found = decode_message(encode_message(update, protocol))
            self.assertEqual(update, found)

    def test_added_type_is_not_encoded_for_the_oldest_build(self) -> None:
        self.assertRaises(
            UnknownMessageError,
            encode_message,
            SAMPLES["release"],
            OLDEST_PROTOCOL,
        )

    def test_unknown_fields_are_skipped(self) -> None:
        number = MESSAGE_TYPES.index(GatherAck)
        payload = msgpack.packb([number, {0: 8, 99: "of a later build"}])
        data = bytes([CURRENT_PROTOCOL]) + payload
        self.assertEqual(GatherAck(8), decode_message(data))

    def test_unknown_types_and_protocols_are_told_from_damage(self) -> None:
        of_type = msgpack.packb([len(MESSAGE_TYPES), {0: 8}])
        for data in (
            bytes([CURRENT_PROTOCOL]) + of_type,
            bytes([CURRENT_PROTOCOL + 1]) + b"any",
        ):
            self.assertRaises(UnknownMessageError, decode_message, data)
        for data in (b"", b"\x14", bytes([CURRENT_PROTOCOL]) + b"\x92\xff\x80"):
            self.assertRaises(ProtocolError, decode_message, data)

    def test_record_of_the_oldest_build_has_its_protocol(self) -> None:
        value = b'{"data_centre":"n","ip":"10.0.0.1","port":1,"capacity":1.0}'
        found = decode_instance_record(value)
        assert found is not None
        self.assertEqual(OLDEST_PROTOCOL, found.protocol)
        later = value[:-1] + b',"protocol":200,"other":1}'
        found = decode_instance_record(later)
        assert found is not None
        self.assertEqual(200, found.protocol)


class RecordTest(testtools.TestCase):
    """Record of an instance in the store."""

    def test_instance_record_round_trips_and_invalid_ones_are_none(
        self,
    ) -> None:
        instance_record = InstanceRecord("north", "10.0.0.1", 7380)
        self.assertEqual(
            instance_record,
            decode_instance_record(encode_instance_record(instance_record)),
        )
        for value in (b"", b"{}", b'{"data_centre": 1}'):
            self.assertIsNone(decode_instance_record(value))

    # Guards against an odd record that keeps an instance from connecting to its
    # other peers.
    def test_records_with_invalid_addresses_are_none(self) -> None:
        for ip, port in (
            ("peer.invalid", 7380),
            ("10.0.0.1 ", 7380),
            ("10.0.0.999", 7380),
            ("10.0.0.1/", 7380),
            ("10.0.0.1", 99_999),
            ("10.0.0.1", 10**30),
        ):
            row = {"data_centre": "north", "ip": ip, "port": port}
            value = json.dumps(row).encode()
            self.assertIsNone(decode_instance_record(value), ip)
        nested = b"[" * 100_000 + b"]" * 100_000
        self.assertIsNone(decode_instance_record(nested))
