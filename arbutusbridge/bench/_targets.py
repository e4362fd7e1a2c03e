"""Size of the planned deployment and the targets it has to meet."""

from __future__ import annotations

NODES = 570
REPLICAS = 2_500
DATA_CENTRES = 6
QUERIES_PER_S = 140_000
SHARDS_PER_QUERY = 230
CHANGES_PER_DAY = 360
RESTARTS_PER_DAY = 290
FAILURES_PER_DAY = 6

MAX_LATENCY_MS = 65.0
MAX_IN_FORCE_S = 17.0
"""Maximum time until a published version is in force at every instance."""

MAX_CONTROL_CORE_FRACTION = 0.026
MAX_CONTROL_MEMORY_MIB = 256.0
MAX_CONTROL_BYTES_PER_S = 10_000.0
"""Maximum bytes per second that control traffic of one node may use."""

MAX_STORE_READS_PER_S = 2_000.0
MAX_STORE_WRITES_PER_S = 300.0
"""Lower end of the several hundred writes per second that are allowed."""

MAX_STORE_VALUE_BYTES = 1_000_000
MIN_UPSTREAM_CONNECTIONS = 25
MAX_UPSTREAM_CONNECTIONS = 110
"""Range of the number of connections that an upstream accepts today."""

DAY_S = 86_400.0

NODES_PER_DATA_CENTRE = NODES // DATA_CENTRES
REPLICAS_PER_DATA_CENTRE = -(-REPLICAS // DATA_CENTRES)
QUERIES_PER_NODE = QUERIES_PER_S / NODES
SUB_REQUESTS_PER_NODE = QUERIES_PER_NODE * SHARDS_PER_QUERY
