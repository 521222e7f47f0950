"""Render the metrics of a node in the Prometheus text format.

Imported on the first scrape, because the library takes 3 MB of memory.
"""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

from jasmineramp.mesh.node_metrics import Gauges, NodeMetrics

PREFIX = 'jasmineramp_'


class _NodeCollector:
    """Collect the metrics of a node for the Prometheus client library."""

    def __init__(self, metrics: NodeMetrics, gauges: Gauges) -> None:
        self.metrics = metrics
        self.gauges = gauges

    def collect(self) -> Iterable[object]:
        """Yield the metric families."""
        yield from _call_families(self.metrics, self.gauges)
        yield from _gauge_families(self.gauges)


def render_metrics(metrics: NodeMetrics, gauges: Gauges) -> bytes:
    """Return the text of all metrics."""
    registry = CollectorRegistry()
    registry.register(_NodeCollector(metrics, gauges))
    return bytes(generate_latest(registry))


def _call_families(metrics: NodeMetrics, gauges: Gauges) -> Iterable[object]:
    calls = CounterMetricFamily(
        f'{PREFIX}calls',
        'Calls by route and outcome.',
        labels=('row', 'outcome'),
    )
    for (row, outcome), count in metrics.calls.items():
        calls.add_metric((row, outcome), count)
    yield calls
    store = CounterMetricFamily(
        f'{PREFIX}store_calls', 'Store calls.', labels=('call', 'outcome')
    )
    for labels, count in gauges.store_calls.items():
        store.add_metric(labels, count)
    yield store
    yield from _use_families(gauges)
    for name, text, counter in (
        (
            'refusals',
            'Refused and failed calls by code.',
            metrics.failures_by_code,
        ),
        ('repeats', 'Retries by target service.', metrics.repeats),
        (
            'answers_cut',
            'Responses cut off by exceeded bound.',
            metrics.cut_answers,
        ),
        (
            'connections_cut',
            'Closed connections to upstreams and from other nodes by kind.',
            metrics.cut_connections,
        ),
        (
            'pipelined',
            'Pipelined requests that ran beside others or were not read.',
            metrics.pipelined,
        ),
        (
            'domain_refusals',
            'Calls refused by state of the failure domain.',
            metrics.domain_refusals,
        ),
        (
            'callers_cut_off',
            'Refused or closed connections of callers by cause.',
            metrics.cut_callers,
        ),
    ):
        family = CounterMetricFamily(f'{PREFIX}{name}', text, labels=('name',))
        for label, count in counter.items():
            family.add_metric((label,), count)
        yield family
    yield CounterMetricFamily(
        f'{PREFIX}cold_refusals',
        'Calls refused because the instance is cold or warming up.',
        value=metrics.cold_refusals,
    )
    for name, text, histogram in (
        ('call_seconds', 'Duration of answered calls.', metrics.call_time),
        (
            'upstream_seconds',
            'Duration of calls at the upstream.',
            metrics.upstream_time,
        ),
        (
            'retry_after_seconds',
            'Delay given to refused callers.',
            metrics.retry_after,
        ),
    ):
        times = HistogramMetricFamily(f'{PREFIX}{name}', text)
        times.add_metric((), histogram.cumulative(), histogram.total_ms / 1000)
        yield times


def _use_families(gauges: Gauges) -> Iterable[object]:
    for name, text, field in (
        (
            'use_replies',
            'Replies that report the use of an instance.',
            'replies',
        ),
        (
            'use_believed',
            'Sum of the uses that this node estimated.',
            'believed',
        ),
        ('use_reported', 'Sum of the uses that replies reported.', 'reported'),
        ('use_error', 'Sum of the differences of the two.', 'error'),
    ):
        family = CounterMetricFamily(f'{PREFIX}{name}', text, labels=('name',))
        for service, totals in gauges.use_totals.items():
            family.add_metric((service,), getattr(totals, field))
        yield family
    for name, text, counts in (
        (
            'left_domain',
            'Calls by estimated use that went to another failure domain.',
            gauges.left_domain,
        ),
        (
            'fast_choices',
            'Calls with a short objective that went to a fast instance.',
            gauges.fast_choices,
        ),
    ):
        family = CounterMetricFamily(f'{PREFIX}{name}', text, labels=('name',))
        for service, count in counts.items():
            family.add_metric((service,), count)
        yield family


def _gauge_families(gauges: Gauges) -> Iterable[object]:
    credit = GaugeMetricFamily(
        f'{PREFIX}retry_credit',
        'Remaining retry credit by service.',
        labels=('name',),
    )
    for service, remaining in gauges.retry_credit.items():
        credit.add_metric((service,), remaining)
    yield credit
    share = GaugeMetricFamily(
        f'{PREFIX}admitted_share',
        'Share of new calls that services further down leave room for.',
        labels=('importance',),
    )
    for importance, admitted in gauges.admitted_share.items():
        share.add_metric((str(importance),), admitted)
    yield share
    evacuated = GaugeMetricFamily(
        f'{PREFIX}evacuated', 'Evacuated failure domains.', labels=('name',)
    )
    for domain in sorted(gauges.evacuated):
        evacuated.add_metric((domain,), 1)
    yield evacuated
    for name, gauge_value in (
        ('running', gauges.running),
        ('queued', gauges.queued),
        ('limit', gauges.limit),
        ('nodes', gauges.nodes),
        ('table_age_seconds', gauges.table_age_ms / 1000),
        ('loop_lag_seconds', gauges.loop_lag_ms / 1000),
        ('cold_seconds', gauges.cold_ms / 1000),
        ('caller_connections', gauges.caller_connections),
        ('message_bytes', gauges.message_bytes),
        ('message_bytes_limit', gauges.message_bytes_limit),
    ):
        yield GaugeMetricFamily(f'{PREFIX}{name}', name, value=gauge_value)
