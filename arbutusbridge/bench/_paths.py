"""Processor time of queries, claim pages, log lines and peer messages."""

from __future__ import annotations

import io
import time

import pynng

from arbutusbridge.bench import fanout
from arbutusbridge.bench._state import measure_min_cpu_s
from arbutusbridge.core.claims.claimpage import (
    Claim,
    ClaimState,
    decode_page,
    encode_page,
)
from arbutusbridge.core.messages import Decision
from arbutusbridge.daemon.logs import (
    get_logger,
    log_decision,
    start_logging,
)
from arbutusbridge.standins.deployment import LOOPBACK, find_free_ports

QUERIES = 40
ROUNDS = 3
STOCK_REQUESTS = 10
DIGEST_BYTES = 16
RECORD_RESULT = {"recorded": True}


def measure_query_s(seed: int, width: int) -> float:
    """Returns the processor time of one query on the whole path."""
    size = fanout.LoadSize(width, QUERIES, ROUNDS, STOCK_REQUESTS)
    figures = fanout.measure(seed, size).figures
    return float(figures["whole_path_us"]) * width / 1e6


def make_page(claims: int) -> bytes:
    """Returns an encoded page of claims in the state RAN."""
    entries = {
        number.to_bytes(DIGEST_BYTES, "big"): Claim(
            f"{number:032x}", ClaimState.RAN, RECORD_RESULT
        )
        for number in range(claims)
    }
    return encode_page(entries)


def measure_page_bytes(claims: int) -> float:
    """Returns the size of an encoded page, in bytes."""
    return float(len(make_page(claims)))


def measure_page_s(claims: int) -> float:
    """Returns the processor time of decoding and encoding a page once."""
    page = make_page(claims)
    return measure_min_cpu_s(lambda: encode_page(decode_page(page) or {}))


def measure_log_s(lines: int) -> float:
    """Returns the processor time of logging a number of decisions."""
    logger = get_logger("capacity")
    decision = Decision("0" * 32, "answer", {"shards": 230, "version": (1, 1)})

    def log_lines() -> None:
        handler = start_logging("info", io.StringIO())
        try:
            for _ in range(lines):
                log_decision(logger, decision)
        finally:
            handler.close()
            handler.pop_application()

    return measure_min_cpu_s(log_lines)


def measure_message_s(messages: int) -> float:
    """Returns the processor time of sending and receiving with pynng."""
    payload = bytes(1000)
    address = f"tcp://{LOOPBACK}:{find_free_ports(1)[0]}"
    with (
        pynng.Pair0(listen=address) as left,
        pynng.Pair0(dial=address, block_on_dial=True) as right,
    ):
        began = time.process_time()
        for _ in range(messages):
            left.send(payload)
            right.recv()
        return time.process_time() - began
