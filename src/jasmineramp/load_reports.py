"""Define the load that an instance node reports with a response."""

import msgspec


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Carry the load that an instance node reports with a response.

    The shed level is the importance below which the instance refuses calls.
    """

    queued: int = 0
    shed_level: int = 0
    healthy: bool = True
