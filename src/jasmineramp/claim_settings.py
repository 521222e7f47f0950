"""Define the settings, limits and phases of claim owners."""

import enum

import msgspec

from jasmineramp.claim_archive import HOUR_MS
from jasmineramp.ids import DomainId, NodeId

OWNER_LEASE_MS = 6000.0
RENEW_INTERVAL_MS = 2000.0
# The lease is used for this part of its duration, counted from when its last
# renewal was sent; the rest allows for clock drift.
USABLE_LEASE_FRACTION = 0.99
POLL_INTERVAL_MS = 1000.0
# The second candidate takes over a partition without an owner only after this
# time, which leaves it to the preferred failure domain if that returns.
BACKUP_DOMAIN_DELAY_MS = 3000.0
# The preferred failure domain must be alive for this long before another one
# hands the partition back.
HAND_BACK_DELAY_MS = 30_000.0
# Ten writes a second less the lease renewals, with a margin.
APPEND_INTERVAL_MS = 106.0
# The log keys of a period share one lease, so the store deletes them when it
# expires.
PERIOD_LEASE_MS = 26 * HOUR_MS
PERIOD_MS = HOUR_MS
MAX_PERIOD_MS = 2 * HOUR_MS
RECORDS_PER_PERIOD = 2000
CLAIMS_PER_PERIOD = 40_000
FAILURES_UNTIL_UNAVAILABLE = 2


class ClaimSettings(msgspec.Struct, frozen=True):
    """Describe the node and the partitions, one per failure domain.

    The domains and their order must be the same on all nodes. The claim limit
    bounds the memory of each partition that the node owns, 14 bytes per ended
    claim; claims are held for 24 h, so it also bounds their average rate.
    """

    node: NodeId
    incarnation: int
    domain: DomainId
    domains: tuple[DomainId, ...]
    claim_limit: int = 800_000


class Phase(enum.Enum):
    """Name the phases of an owner, in order of a takeover."""

    idle = 'idle'
    polling = 'polling'
    leasing = 'leasing'
    owning = 'owning'
    period = 'period'
    head = 'head'
    reading = 'reading'
    sealing = 'sealing'
    heading = 'heading'
    serving = 'serving'
