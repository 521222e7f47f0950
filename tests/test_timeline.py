"""Test the timeline of a node and the merge of several."""

import json
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.timeline import EventQuery, Timeline, record, select
from jasmineramp.timeline_merge import TimedPage, merge
from jasmineramp.timeline_rendering import (
    render_html,
    render_lines,
    render_text,
)


class TimelineTest(unittest.TestCase):
    """Guard against an unbounded buffer, wrong filters and leaked keys."""

    def test_keeps_the_newest_events_and_counts_dropped_ones(self) -> None:
        timeline = Timeline('a', 3)
        for index in range(5):
            record(timeline, 'node_started', {'index': index}, index)
        page = select(timeline, EventQuery(limit=2), 5)
        self.assertEqual([e.fields['index'] for e in page.events], [3, 4])
        self.assertEqual((page.dropped, page.cut), (2, 1))

    def test_all_filters_must_match(self) -> None:
        timeline = Timeline('a')
        for index in range(8):
            fields = {
                'request_id': f'r{index % 2}',
                'workspace': f'w{index // 4}',
                'upstream': f'u{index % 4 // 2}',
            }
            kind = 'call_refused' if index % 3 else 'call_finished'
            record(timeline, kind, fields, 1000 * index)
        for query, expected in (
            ({'request_id': 'r1', 'workspace': 'w1'}, [5, 7]),
            ({'upstream': 'u0', 'kind': 'call_refused'}, [1, 4, 5]),
            ({'oldest_age': 3000, 'newest_age': 1000}, [5, 6, 7]),
        ):
            page = select(timeline, EventQuery(**query), 8000)
            indexes = [int(event.time / 1000) for event in page.events]
            self.assertEqual(indexes, expected, query)

    def test_omits_secrets_and_truncates_text(self) -> None:
        timeline = Timeline('a')
        secret = 'plain-key'
        fields = {'key': secret, 'authorization': secret, 'note': 'x' * 9999}
        record(timeline, 'call_refused', fields, 0)
        text = repr(select(timeline, EventQuery(), 0))
        self.assertNotIn(secret, text)
        self.assertLess(len(text), 1000)


def make_timed_page(
    node: str, offset: float, events, rtt_ms: float = 0
) -> TimedPage:
    """Return a page of a node whose clock is ahead by an offset in ms."""
    timeline = Timeline(node)
    for time, kind, hop in events:
        fields = {'request_id': 'r', 'hop': hop}
        record(timeline, kind, fields, time + offset)
    return TimedPage(
        select(timeline, EventQuery(), 1000 + offset), 1000, 1000 + rtt_ms
    )


class MergeTest(unittest.TestCase):
    """Guard against a merge that puts an effect before its cause.

    Nodes have different clocks, and each event's time is known only up to
    the round trip of the query.
    """

    def merged_nodes(self, *timed_pages: TimedPage) -> list[str]:
        return [item.event.node for item in merge(timed_pages)]

    def test_clock_offsets_do_not_matter(self) -> None:
        events = [(500, 'upstream_changed', None)]
        later = [(600, 'upstream_changed', None)]
        first = make_timed_page('a', 1e9, events)
        second = make_timed_page('b', -1e6, later)
        self.assertEqual(self.merged_nodes(second, first), ['a', 'b'])

    def test_hops_order_calls_within_the_uncertainty(self) -> None:
        # The answer of b took 40 ms, so it places its event at 510 ± 20 ms.
        entry = make_timed_page('a', 0, [(500, 'call_finished', 0)])
        deeper = make_timed_page('b', 7, [(490, 'call_refused', 1)], rtt_ms=40)
        self.assertEqual(self.merged_nodes(entry, deeper), ['b', 'a'])

    def test_certain_times_take_precedence_over_hops(self) -> None:
        entry = make_timed_page('a', 0, [(300, 'call_finished', 0)])
        deeper = make_timed_page('b', 7, [(510, 'call_finished', 1)], rtt_ms=40)
        self.assertEqual(self.merged_nodes(entry, deeper), ['a', 'b'])

    @given(
        st.lists(st.tuples(st.integers(0, 50), st.integers(0, 3)), max_size=20),
        st.integers(0, 99),
    )
    def test_keeps_every_event_and_the_order_of_each_node(
        self, events, seed
    ) -> None:
        rng = random.Random(seed)
        kinds = ('call_finished', 'call_refused', 'retry_decided')
        timed_pages = [
            make_timed_page(
                node,
                rng.uniform(-1e5, 1e5),
                sorted(
                    (time, rng.choice(kinds), hop)
                    for time, hop in events
                    if rng.random() < 0.5
                ),
                rtt_ms=rng.uniform(0, 50),
            )
            for node in 'abc'
        ]
        merged = merge(timed_pages)
        for timed_page in timed_pages:
            node_events = [
                item.event
                for item in merged
                if item.event.node == timed_page.page.node
            ]
            self.assertEqual(node_events, timed_page.page.events)
        count = sum(len(timed_page.page.events) for timed_page in timed_pages)
        self.assertEqual(len(merged), count)


class RenderingTest(unittest.TestCase):
    """Guard against a page that executes text sent by a caller."""

    def test_every_format_contains_the_events_and_notes(self) -> None:
        timeline = Timeline('a')
        script = '<script>alert(1)</script>'
        record(timeline, 'call_refused', {'upstream': script, 'x': script}, 5)
        page = select(timeline, EventQuery(), 5)
        events = merge([TimedPage(page, 0, 1)])
        notes = [f'node b is missing {script}']
        for render in (render_text, render_lines, render_html):
            text = render(events, notes)
            self.assertIn('call_refused', text)
            self.assertIn('node b is missing', text)
        self.assertNotIn('<script', render_html(events, notes))
        for line in render_lines(events, notes).splitlines():
            json.loads(line)
