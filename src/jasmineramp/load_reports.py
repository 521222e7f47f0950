"""Define the load that an instance node reports with a response."""

import msgspec


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Carry the load that an instance node reports with a response.

    The shed level is the importance below which the instance refuses calls.
    The capacity is the measured rate in calls a second at full use, 0 when
    it is not known.
    """

    queued: int = 0
    capacity: float = 0
    shed_level: int = 0
    healthy: bool = True
