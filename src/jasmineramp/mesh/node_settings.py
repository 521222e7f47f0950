"""Define the settings of a node."""

import msgspec

from jasmineramp.ids import DomainId, NodeId, ServiceName
from jasmineramp.mesh.receive_limits import DEFAULT_MEMORY_BYTES, MEBIBYTE

Address = tuple[str, int]


class Bounds(msgspec.Struct, frozen=True):
    """Hold the bounds that the operators set; times are milliseconds.

    apply_ms: longest time until a new table takes effect. revoke_ms: longest
    time until a withdrawn key stops working. drain_ms: longest time until a
    draining upstream gets no new calls; the node only reports it. grace_ms:
    from SIGTERM to SIGKILL. The retry ratio and slack limit the retries to a
    service over all nodes. evac_ms: longest time until an evacuated failure
    domain gets no calls; 0 if evacuations are not in use. In any one second a
    cold instance gets at most its cold rate times cold_over, plus cold_slack.
    """

    apply_ms: float = 2_000
    revoke_ms: float = 5_000
    drain_ms: float = 2_000
    grace_ms: float = 6_000
    retry_ratio: float = 0.2
    retry_slack: float = 40
    evac_ms: float = 0
    cold_over: float = 1.5
    cold_slack: float = 8


class NodeSettings(msgspec.Struct, frozen=True):
    """Hold the settings of one node; addresses are host and port.

    Callers and the upstream of this VM send calls to `outbound`, peers
    connect to `inbound`, the upstream sends its announcements to `control`.
    `memory_bytes` is what the process may use, `max_descriptors` how many
    descriptors it may open (0 if only the system limits them),
    `store_value_bytes` the largest value in the store.
    """

    node: NodeId
    domain: DomainId
    service: ServiceName
    outbound: Address
    inbound: Address
    ready: Address
    control: Address
    upstream: Address
    store: Address
    metrics: Address
    heartbeat_ms: float
    least_ttl_ms: float
    bounds: Bounds
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    store_value_bytes: int = MEBIBYTE
    max_descriptors: int = 0
