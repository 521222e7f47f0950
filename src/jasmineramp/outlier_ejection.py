"""Eject instances whose calls fail more often than those of the others.

At most half of the ready instances of a service are ejected at a time.
"""

from jasmineramp.clock import Millis
from jasmineramp.routing_targets import SLOW_START_MS, Service, Target

# Four consecutive failures of an instance without earlier ones exceed the
# ejection failure rate.
FAILURE_SMOOTHING = 0.2
EJECTION_FAILURE_RATE = 0.5
# Failures that all instances share are no reason to eject one of them, so an
# instance must also exceed this multiple of the failure rate of the service.
EJECTION_SERVICE_RATE_FACTOR = 1.5
BASE_EJECTION_MS = 5_000
MAX_EJECTION_MS = 60_000
EJECTION_COUNT_RESET_MS = 120_000


def record_success(service: Service, target: Target) -> None:
    """Count a call that succeeded."""
    target.failure_rate -= FAILURE_SMOOTHING * target.failure_rate
    service.failure_rate -= (
        FAILURE_SMOOTHING * service.failure_rate / len(service.targets)
    )


def record_failure(service: Service, target: Target, now: Millis) -> None:
    """Count a call that failed; eject the instance if it fails too often."""
    target.failure_rate += FAILURE_SMOOTHING * (1 - target.failure_rate)
    target.estimate.failed_at = now
    service.failure_rate += (
        FAILURE_SMOOTHING * (1 - service.failure_rate) / len(service.targets)
    )
    threshold = max(
        EJECTION_FAILURE_RATE,
        EJECTION_SERVICE_RATE_FACTOR * service.failure_rate,
    )
    if target.failure_rate <= threshold or now < target.ejected_until:
        return
    ready = service.ready_targets()
    ejected = _ejected_targets(ready, now)
    if (len(ejected) + 1) * 2 > len(ready):
        return
    if now - target.last_ejection_at > EJECTION_COUNT_RESET_MS:
        target.ejections = 0
    duration = min(BASE_EJECTION_MS * 2**target.ejections, MAX_EJECTION_MS)
    target.ejections += 1
    target.last_ejection_at = now
    target.ejected_until = now + duration
    # After an ejection, calls return gradually.
    target.cold_until = target.ejected_until + SLOW_START_MS
    target.failure_rate = 0
    service.rebuild_pools_at = 0


def end_excess_ejections(ready: list[Target], now: Millis) -> list[Target]:
    """End the ejections beyond the limit that expire first; return the others.

    After departures, more than half of the instances may be ejected.
    """
    ejected = _ejected_targets(ready, now)
    ejected.sort(key=lambda each: each.ejected_until)
    while len(ejected) * 2 > len(ready):
        ejected.pop(0).ejected_until = 0
    return ejected


def _ejected_targets(targets: list[Target], now: Millis) -> list[Target]:
    return [each for each in targets if now < each.ejected_until]
