"""Read the settings file of a node: JSON with comments."""

import pathlib

import json5
import msgspec

from jasmineramp.exceptions import SettingsError
from jasmineramp.ids import DomainId, NodeId

_REMEDY = 'see examples/node.json5 for every field'


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the settings of one node; addresses are host:port.

    All nodes must list the failure domains in the same order. Without a
    platform, the table is read from the table file and kept in memory only,
    and rate_slot, which must differ between nodes, is used as rate slot.
    """

    node: NodeId
    domain: DomainId
    domains: tuple[DomainId, ...]
    caller: str
    peer: str
    operator: str
    platform: str = ''
    table: str = ''
    rate_slot: int = 0
    seeds: tuple[str, ...] = ()
    caller_threads: int = 128
    run_threads: int = 192
    largest_body_bytes: int = 32 * 1024 * 1024
    statsd: str = ''
    log_level: str = 'info'
    stop_after_ms: float = 30_000


def load_settings(path: pathlib.Path) -> Settings:
    """Return the validated settings; raise SettingsError naming the place."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), str(error), _REMEDY) from None
    try:
        document = json5.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError(str(path), str(error), _REMEDY) from None
    try:
        settings = msgspec.convert(document, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(str(path), str(error), _REMEDY) from None
    _validate(path, settings)
    return settings


def split_address(address: str) -> tuple[str, int]:
    """Split host:port into host and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def _validate(path: pathlib.Path, settings: Settings) -> None:
    for name in ('caller', 'peer', 'operator', 'platform', 'statsd'):
        address = getattr(settings, name)
        if address:
            _validate_address(path, name, address)
    for seed in settings.seeds:
        _validate_address(path, 'seeds', seed)
    if not settings.node:
        raise SettingsError(
            f'{path}: node',
            'is empty',
            'give each node a unique name',
        )
    if settings.domain not in settings.domains:
        raise SettingsError(
            f'{path}: domain',
            f'{settings.domain!r} is not listed in domains',
            'list every failure domain in domains',
        )
    for name in ('caller_threads', 'run_threads', 'largest_body_bytes'):
        if getattr(settings, name) < 1:
            raise SettingsError(
                f'{path}: {name}',
                f'{getattr(settings, name)} is under 1',
                'use a whole number of at least 1',
            )
    if not settings.platform and not settings.table:
        raise SettingsError(
            f'{path}: table',
            'neither platform nor table is set',
            'set platform, or set table to a file that is kept in memory',
        )


def _validate_address(path: pathlib.Path, name: str, address: str) -> None:
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise SettingsError(
            f'{path}: {name}',
            f'{address!r} is not host:port',
            'write an IP address and a port, for example 10.0.0.7:8080',
        )
