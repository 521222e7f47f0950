"""Build the load report of an instance."""

from jasmineramp import admission
from jasmineramp.admission import AdmissionState
from jasmineramp.clock import Millis
from jasmineramp.load_reports import LoadReport
from jasmineramp.mesh.cold_limit import ColdLimit
from jasmineramp.mesh.row_time_reports import RowTimeReporter

# Running calls above this fraction of the limit are reported as load, so that
# peers compare the instance with those of other failure domains.
LOAD_THRESHOLD_FRACTION = 0.75


def build_load_report(
    state: AdmissionState,
    cold: ColdLimit,
    row_times: RowTimeReporter,
    now: Millis,
    *,
    is_healthy: bool,
) -> LoadReport:
    """Return the report; it takes the turn of the next row time."""
    queued = len(state.queue.entries)
    limit = int(state.limiter.limit)
    cold_ms = cold.remaining_ms(now)
    is_held_back = cold.is_cold(now) and not cold.may_start(now)
    if is_held_back:
        # Peers take it for full.
        queued = max(1, queued)
    load_threshold = int(state.limiter.limit * LOAD_THRESHOLD_FRACTION)
    excess_calls = max(0, len(state.running) - load_threshold)
    return LoadReport(
        queued + excess_calls,
        cold.rule.per_s if cold_ms else admission.capacity(state),
        admission.shed_level(state, now),
        is_healthy,
        limit if is_held_back else len(state.running) + queued,
        limit,
        *row_times.next(now),
        cold.rule.per_s if cold_ms else 0,
        cold_ms,
    )
