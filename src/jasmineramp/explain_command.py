"""Explain why calls of a request or a workspace were refused."""

import pathlib
from collections.abc import Sequence
from typing import Any

import msgspec

from jasmineramp.clock import MonotonicClock
from jasmineramp.command_output import (
    DONE,
    FAILED,
    PENDING,
    Report,
    run_command,
    text,
)
from jasmineramp.log_story import (
    RequestHistory,
    build_history,
    read_lines,
    render_line,
)
from jasmineramp.operator_client import ask_all, parse_nodes
from jasmineramp.refusal_advice import advise
from jasmineramp.refusal_counts import Reason, ReasonCount, RefusalSummary
from jasmineramp.timeline import TimelineEvent
from jasmineramp.timeline_command import collect_events, parse_age
from jasmineramp.timeline_merge import merge

_REFUSED = 'call_refused'


class RefusalExplanation(msgspec.Struct, frozen=True):
    """Hold one refusal of a request with advice."""

    node: str
    code: str
    run: str
    row: str
    column: str
    figure: float | None
    limit: float | None
    revision: int
    hop: int | None
    advice: str


class ReasonExplanation(msgspec.Struct, frozen=True):
    """Hold the refusals of one reason on all nodes with advice."""

    reason: Reason
    count: int
    figure: float | None
    limit: float | None
    nodes: dict[str, int]
    advice: str


class ExplainCommand:
    """Explain refusals from --nodes host:port,... (operator ports) or logs.

    Exit status: 0 done, 1 nothing found or no node answered, 2 bad input,
    4 some nodes did not answer.
    """

    @text()
    def request(self, request_id: str, nodes: str) -> Report:
        """Explain every refusal of a request on all nodes."""
        addresses = parse_nodes(nodes)
        query = {'request_id': request_id, 'kind': _REFUSED}
        collected = collect_events(addresses, query, MonotonicClock())
        explanations = [
            explain_event(item.event) for item in merge(collected.timed_pages)
        ]
        lines = [f'note: {note}' for note in collected.notes]
        lines += map(_render_refusal, explanations)
        if not explanations:
            lines.append(
                f'no refusal of request {request_id} on '
                f'{len(collected.timed_pages)} nodes',
            )
        document = {'notes': collected.notes, 'refusals': explanations}
        code = _exit_code(len(collected.timed_pages), len(addresses))
        if not explanations and code == DONE:
            code = FAILED
        return Report('\n'.join(lines), document, code)

    @text()
    def log(self, request_id: str, *files: str) -> Report:
        """Show the history of a request from log files of several nodes."""
        lines, unread = read_lines(
            line
            for file in files
            for line in pathlib.Path(file)
            .read_text(encoding='utf-8')
            .splitlines()
        )
        history = build_history(request_id, lines, unread)
        rendered = _render_history(history, len(lines))
        return Report(rendered, history, DONE if history.lines else FAILED)

    @text()
    def workspace(
        self,
        name: str,
        nodes: str,
        last: str = '5m',
        until: str = '0s',
    ) -> Report:
        """Count the refusals of a workspace by reason on all nodes."""
        addresses = parse_nodes(nodes)
        query = {
            'workspace': name,
            'oldest_age': parse_age(last),
            'newest_age': parse_age(until),
        }
        summaries: list[RefusalSummary] = []
        notes: list[str] = []
        for answer in ask_all(addresses, '/refusals', query):
            if answer.error:
                notes.append(
                    f'node {answer.address} is missing: {answer.error}'
                )
                continue
            summary = msgspec.convert(answer.document, RefusalSummary)
            summaries.append(summary)
            notes.extend(_check_summary(summary))
        reasons = combine(summaries)
        total = sum(summary.total for summary in summaries)
        lines = [f'note: {note}' for note in notes]
        lines.append(
            f'workspace {name}: {total} refusals on {len(summaries)} nodes, '
            f'from {last} to {until} ago',
        )
        lines += map(_render_reason, reasons)
        document = {'notes': notes, 'total': total, 'reasons': reasons}
        code = _exit_code(len(summaries), len(addresses))
        return Report('\n'.join(lines), document, code)


def explain_event(event: TimelineEvent) -> RefusalExplanation:
    """Return the explanation of a recorded refusal."""
    fields: dict[str, Any] = event.fields
    code = str(fields.get('code', ''))
    return RefusalExplanation(
        event.node,
        code,
        str(fields.get('run', '')),
        str(fields.get('row', '')),
        str(fields.get('column', '')),
        fields.get('figure'),
        fields.get('limit'),
        int(fields.get('revision', 0)),
        event.hop,
        advise(code),
    )


def combine(summaries: Sequence[RefusalSummary]) -> list[ReasonExplanation]:
    """Add up the counts of all nodes by reason, most frequent first."""
    merged: dict[Reason, list[tuple[str, ReasonCount]]] = {}
    for summary in summaries:
        for entry in summary.reasons:
            merged.setdefault(entry.reason, []).append((summary.node, entry))
    explanations = []
    for reason, entries in merged.items():
        largest = max((entry for _, entry in entries), key=_rank_figure)
        explanations.append(
            ReasonExplanation(
                reason,
                sum(entry.count for _, entry in entries),
                largest.figure,
                largest.limit,
                {node: entry.count for node, entry in entries},
                advise(reason.code),
            ),
        )
    return sorted(explanations, key=lambda item: -item.count)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the console script."""
    run_command(ExplainCommand, 'jasmineramp-explain', arguments)


def _rank_figure(entry: ReasonCount) -> tuple[bool, float]:
    return entry.figure is not None, entry.figure or 0


def _check_summary(summary: RefusalSummary) -> list[str]:
    notes = []
    if not summary.complete:
        notes.append(
            f'node {summary.node} has dropped some refusals of the time span',
        )
    counted = sum(entry.count for entry in summary.reasons)
    if counted != summary.total:
        notes.append(
            f'node {summary.node} counts {summary.total} refusals but '
            f'{counted} with a reason',
        )
    return notes


def _exit_code(answered: int, asked: int) -> int:
    if answered == asked:
        return DONE
    return PENDING if answered else FAILED


def _render_history(history: RequestHistory, read: int) -> str:
    if not history.lines:
        return (
            f'no line about request {history.request} among {read} lines; '
            'answered calls are sampled, and lines_left_out counts the rest'
        )
    lines = [render_line(each) for each in history.lines]
    codes = {
        str(each.fields['code'])
        for each in history.lines
        if each.request and 'code' in each.fields
    }
    lines += [f'to change {code}: {advise(code)}' for code in sorted(codes)]
    return '\n'.join(lines)


def _render_figure(figure: float | None, limit: float | None) -> str:
    if figure is None and limit is None:
        return ''
    return f', figure {figure} against limit {limit}'


def _render_cell(row: str, column: str) -> str:
    return f'row {row}, column {column}' if row else 'no table row'


def _render_refusal(item: RefusalExplanation) -> str:
    return (
        f'{item.code} ({item.run}) on node {item.node}, hop {item.hop}: '
        f'{_render_cell(item.row, item.column)}'
        f'{_render_figure(item.figure, item.limit)}, '
        f'revision {item.revision}; to change it: {item.advice}'
    )


def _render_reason(item: ReasonExplanation) -> str:
    reason = item.reason
    nodes = ', '.join(f'{node} {count}' for node, count in item.nodes.items())
    return (
        f'{item.count} {reason.code} ({reason.run}): '
        f'{_render_cell(reason.row, reason.column)}'
        f'{_render_figure(item.figure, item.limit)}, '
        f'revision {reason.revision}, nodes {nodes}; '
        f'to change it: {item.advice}'
    )
