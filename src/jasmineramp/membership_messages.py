"""Define node entries, upstream announcements and membership messages."""

import enum

import msgspec

from jasmineramp.ids import DomainId, NodeId, ServiceName


class UpstreamState(enum.Enum):
    """Tell what an upstream announced about itself."""

    starting = 0
    ready = 1
    draining = 2


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """Describe the upstream of a node as it announced itself."""

    service: ServiceName
    port: int
    slots: int
    connections: int
    weight: float = 1
    state: UpstreamState = UpstreamState.ready


class Instance(msgspec.Struct, frozen=True):
    """Locate an upstream instance in the fleet."""

    node: NodeId
    domain: DomainId
    incarnation: int
    upstream: Upstream
