"""Define the load report that a response carries."""

import msgspec

from jasmineramp.decoding import Count, DurationMs, Rate


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Carry the load that an instance node reports with a response.

    The shed level is the importance below which other nodes should refuse
    calls to the instance. The capacity is the measured calls a second at full
    use, 0 if unknown. An instance that is not healthy counts as full. One that
    is still cold takes `cold_per_s` calls a second for `cold_ms` more.
    """

    queued: Count = 0
    capacity: Rate = 0
    shed_level: Count = 0
    healthy: bool = True
    cold_per_s: Rate = 0
    cold_ms: DurationMs = 0
