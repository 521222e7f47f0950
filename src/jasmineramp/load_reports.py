"""Define the load report that a response carries."""

import msgspec

from jasmineramp.decoding import Count, DurationMs, Rate
from jasmineramp.ids import RowName


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Carry the load that an instance node reports with a response.

    The shed level is the importance below which other nodes should refuse
    calls to the instance. The capacity is the measured calls a second at full
    use, 0 if unknown. An instance that is not healthy counts as full. The row
    time is the mean service time of a row at the instance, 0 if unknown.
    """

    queued: Count = 0
    capacity: Rate = 0
    shed_level: Count = 0
    healthy: bool = True
    timed_row: RowName = RowName('')
    row_time_ms: DurationMs = 0
