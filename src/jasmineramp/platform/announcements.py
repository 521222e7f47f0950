"""Decode the announcements of instances and their request paths."""

import msgspec

from jasmineramp.decoding import Count, ForeignDecoder, Slots
from jasmineramp.ids import DomainId, ServiceName
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.upstream_state import Announcement
from jasmineramp.platform.wire_values import read_duration_ms

READY_PATH = b'/readiness'
_INSTANCES_PREFIX = '/instances/'
_HEARTBEAT_SUFFIX = '/heartbeat'
_DEREGISTER_SUFFIX = '/deregister'
_STATES = {
    'ready': UpstreamState.ready,
    'draining': UpstreamState.draining,
}


class _WireInfo(msgspec.Struct):
    service: str
    # The failure domain.
    zone: str
    slots: Slots
    version: str = ''


class _WireStatus(msgspec.Struct, rename='camel'):
    state: str
    sequence: Count
    # Remaining warm-up time.
    cold_remaining: str = '0ms'


class _WireHeartbeat(msgspec.Struct):
    address: str
    info: _WireInfo
    status: _WireStatus
    # Start of this process of the instance, in Unix milliseconds.
    born: Count = 0


class _WireDeregistration(msgspec.Struct):
    born: Count | None = None


_heartbeat_decoder = ForeignDecoder(msgspec.json.Decoder(_WireHeartbeat))
_deregistration_decoder = ForeignDecoder(
    msgspec.json.Decoder(_WireDeregistration)
)


def read_heartbeat_path(target: str) -> str | None:
    """Return the instance of a heartbeat path, None for other paths."""
    return _match_instance(target, _HEARTBEAT_SUFFIX)


def read_deregister_path(target: str) -> str | None:
    """Return the instance of a deregister path, None for other paths."""
    return _match_instance(target, _DEREGISTER_SUFFIX)


def decode_heartbeat(instance: str, body: bytes) -> Announcement:
    """Return an announcement; raise ValueError if it is invalid."""
    wire = _heartbeat_decoder.decode(body)
    state = _STATES.get(wire.status.state)
    if state is None:
        raise ValueError(f'state {wire.status.state!r} is unknown')
    if not wire.info.service or wire.info.slots < 1:
        raise ValueError('service is empty or slots is less than 1')
    return Announcement(
        instance,
        wire.born,
        wire.address,
        ServiceName(wire.info.service),
        DomainId(wire.info.zone),
        wire.info.slots,
        state,
        wire.status.sequence,
        read_duration_ms(wire.status.cold_remaining),
    )


def decode_start_time(body: bytes) -> int | None:
    """Return the start of a deregistered instance in Unix ms.

    Return None if it is missing or malformed.
    """
    if not body:
        return None
    try:
        return _deregistration_decoder.decode(body).born
    except msgspec.MsgspecError:
        return None


def _match_instance(target: str, suffix: str) -> str | None:
    path = target.partition('?')[0]
    if path.startswith(_INSTANCES_PREFIX) and path.endswith(suffix):
        instance = path[len(_INSTANCES_PREFIX) : -len(suffix)]
        return instance if instance and '/' not in instance else None
    return None
