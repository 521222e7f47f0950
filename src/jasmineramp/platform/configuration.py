"""Decode the operator's configuration into a route table."""

import string
from collections.abc import Iterable, Mapping

import msgspec

from jasmineramp.authentication import digest_key
from jasmineramp.decoding import Count, ForeignDecoder, Rate
from jasmineramp.ids import (
    DomainId,
    Revision,
    RowName,
    ServiceName,
    WorkspaceId,
)
from jasmineramp.mesh.calls import CallKind
from jasmineramp.mesh.route_table import (
    CallerLimits,
    RankedWorkspace,
    RouteRow,
    RouteTable,
    ServiceRow,
    ServiceShare,
)
from jasmineramp.platform.wire_values import read_duration_ms
from jasmineramp.table import KeyRow, WorkspaceRow

CONFIGURATION_KEY = 'op/config'
# All keys that the operators write.
OPERATOR_PREFIX = 'op/'
_EVACUATION_PREFIX = 'op/evacuate/'
_DOWNLOAD = 'download'
_KINDS = {
    'idempotent': CallKind.idempotent,
    _DOWNLOAD: CallKind.idempotent,
    'non_idempotent': CallKind.once,
    'upload': CallKind.once,
}


class _WireTarget(msgspec.Struct):
    service: str
    weight: Rate


class _WireRoute(msgspec.Struct, rename='camel'):
    hostname: str
    prefix: str
    route_type: str
    timeout: str
    # The latency objective: a response within it earns full credit.
    target_latency: str = '0ms'
    # A rank; 0 is the most important.
    priority: Count = 0
    service: str = ''
    weighted_targets: list[_WireTarget] = []
    # The maximum number of sends that an upstream may have received, including
    # the first. Refused sends that did not run are not counted.
    max_attempts: Count = 1
    # Calls of the route need no API key.
    auth_exempt: bool = False


class _WireLimits(msgspec.Struct, rename='camel'):
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 64 * 1024 * 1024
    header_timeout: str = '3000ms'
    idle_timeout: str = '15000ms'


# The platform calls a workspace a tenant.
class _WireTenant(msgspec.Struct):
    keys: list[str] = msgspec.field(name='apiKeys', default_factory=list)
    priority: Count | None = None
    # Requests per second over all nodes; 0 means no limit.
    rate: Rate = msgspec.field(name='ratePerS', default=0)
    burst: Rate = 0


class _WireService(msgspec.Struct, rename='camel'):
    cold_per_s: Rate = msgspec.field(name='coldPerS', default=0)
    cold_start: str = '0ms'


class _WireConfiguration(msgspec.Struct):
    version: str
    routes: dict[str, _WireRoute]
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: dict[str, _WireTenant] = {}
    # Decoded one by one, so that an error names the row.
    services: dict[str, msgspec.Raw] = {}


_decoder = ForeignDecoder(msgspec.json.Decoder(_WireConfiguration))
_service_decoder = ForeignDecoder(msgspec.json.Decoder(_WireService))


def decode_configuration(value: bytes, revision: Revision) -> RouteTable:
    """Return the table; raise ValueError that names the invalid field."""
    wire = _decoder.decode(value)
    limits = CallerLimits(
        wire.limits.max_header_bytes,
        wire.limits.max_body_bytes,
        read_duration_ms(wire.limits.header_timeout),
        read_duration_ms(wire.limits.idle_timeout),
    )
    return RouteTable(
        revision,
        wire.version,
        routes=tuple(
            _read_route(name, route) for name, route in wire.routes.items()
        ),
        workspaces=dict(_read_workspaces(wire.tenants)),
        keys=tuple(_read_keys(wire.tenants)),
        limits=limits,
        services={
            ServiceName(name): _read_service(name, content)
            for name, content in wire.services.items()
        },
        serial=_read_serial(wire.version),
    )


def read_evacuated_domain(key: str) -> DomainId | None:
    """Return the failure domain of an evacuation, None for other keys."""
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    return DomainId(key.removeprefix(_EVACUATION_PREFIX)) or None


def _read_serial(version: str) -> int:
    if not version or not set(version) <= set(string.hexdigits):
        raise ValueError(f'version {version!r} is not hexadecimal')
    return int(version, 16)


def _read_service(name: str, content: msgspec.Raw) -> ServiceRow:
    try:
        wire = _service_decoder.decode(bytes(content))
        cold_start_ms = read_duration_ms(wire.cold_start)
    except ValueError as error:
        raise ValueError(f'service {name}: {error}') from None
    return ServiceRow(ServiceName(name), wire.cold_per_s, cold_start_ms)


def _read_route(name: str, wire: _WireRoute) -> RouteRow:
    if wire.weighted_targets:
        targets = tuple(
            ServiceShare(ServiceName(each.service), each.weight)
            for each in wire.weighted_targets
            if each.weight > 0
        )
    else:
        targets = (ServiceShare(ServiceName(wire.service), 1),)
    if not targets or any(not each.service for each in targets):
        raise ValueError(f'route {name} has no service')
    kind = _KINDS.get(wire.route_type)
    if kind is None:
        raise ValueError(
            f'route {name}: routeType {wire.route_type!r} is not one of '
            f'{", ".join(_KINDS)}'
        )
    return RouteRow(
        RowName(name),
        wire.hostname.lower(),
        wire.prefix,
        targets,
        kind,
        read_duration_ms(wire.timeout),
        read_duration_ms(wire.target_latency),
        wire.priority,
        max(1, wire.max_attempts),
        wire.auth_exempt,
        wire.route_type == _DOWNLOAD,
    )


def _read_workspaces(
    tenants: Mapping[str, _WireTenant],
) -> Iterable[tuple[WorkspaceId, RankedWorkspace]]:
    for name, tenant in tenants.items():
        workspace = WorkspaceId(name)
        row = WorkspaceRow(workspace, tenant.rate, tenant.burst)
        yield workspace, RankedWorkspace(row, tenant.priority)


def _read_keys(tenants: Mapping[str, _WireTenant]) -> Iterable[KeyRow]:
    for name, tenant in tenants.items():
        for key in tenant.keys:
            yield KeyRow(digest_key(key), WorkspaceId(name))
