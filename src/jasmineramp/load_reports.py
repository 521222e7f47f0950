"""Define the load report that a response carries."""

import msgspec

from jasmineramp.decoding import Count, DurationMs, Rate
from jasmineramp.ids import RowName


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Carry the load that an instance node reports with a response.

    The shed level is the importance below which other nodes should refuse
    calls to the instance. The capacity is the measured calls a second at full
    use, 0 if unknown. An instance that is not healthy counts as full. Busy are
    the running and the queued calls, the limit is how many can run at once, 0
    if unknown. The row time is the mean service time of one row at the
    instance, 0 if unknown. An instance that is still cold takes `cold_per_s`
    calls a second for `cold_ms` more. Nodes of the release before neither send
    nor read the fields behind `healthy`.
    """

    queued: Count = 0
    capacity: Rate = 0
    shed_level: Count = 0
    healthy: bool = True
    busy: Count = 0
    limit: Count = 0
    timed_row: RowName = RowName('')
    row_time_ms: DurationMs = 0
    cold_per_s: Rate = 0
    cold_ms: DurationMs = 0
