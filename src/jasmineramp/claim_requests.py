"""Hold the claims that a node asks for and the outcomes it reports."""

import heapq

import msgspec

from jasmineramp.claim_messages import ClaimEnd, ClaimOutcome, ClaimRequest
from jasmineramp.clock import Millis, later
from jasmineramp.ids import CallId

FIRST_REPORT_RETRY_MS = 250.0
LAST_REPORT_RETRY_MS = 8000.0
REPORT_RETENTION_MS = 600_000.0
# A release is remembered after its confirmation, because a delayed claim
# request can still be granted and must then be released again.
RELEASE_RETENTION_MS = 30_000.0
REPORT_LIMIT = 10_000


class PendingClaim(msgspec.Struct):
    """Hold a claim that the owner has not decided yet."""

    call_id: CallId
    request: ClaimRequest
    give_up: Millis
    resend_at: Millis
    sent: bool = False
    redirects: int = 0


class Report(msgspec.Struct):
    """Hold an outcome until the owner has confirmed it."""

    outcome: ClaimOutcome
    forget_at: Millis
    due: Millis
    attempts: int = 0
    confirmed: bool = False


class Reports:
    """Repeat outcomes until they are confirmed, within bounds."""

    def __init__(self) -> None:
        self.by_token: dict[int, Report] = {}
        self.queue: list[tuple[Millis, int]] = []

    def add(self, outcome: ClaimOutcome, now: Millis) -> None:
        """Keep an outcome; the oldest goes when there are too many."""
        if len(self.by_token) >= REPORT_LIMIT:
            self.by_token.pop(next(iter(self.by_token)))
        forget_at = later(now, REPORT_RETENTION_MS)
        self.by_token[outcome.token] = Report(outcome, forget_at, now)
        heapq.heappush(self.queue, (now, outcome.token))

    def confirm(self, token: int, now: Millis) -> None:
        """Stop repeating the outcome of a token."""
        report = self.by_token.get(token)
        if report is None or report.confirmed:
            return
        if report.outcome.end is not ClaimEnd.not_run:
            self.by_token.pop(token)
            return
        report.confirmed = True
        report.forget_at = later(now, RELEASE_RETENTION_MS)
        self._schedule(report, report.forget_at)

    def reopen(self, token: int, now: Millis) -> None:
        """Repeat a release whose claim was granted after all."""
        report = self.by_token.get(token)
        if report is not None and report.outcome.end is ClaimEnd.not_run:
            report.confirmed = False
            self._schedule(report, now)

    def hasten(self, token: int, now: Millis) -> None:
        """Repeat an outcome at once, since its owner is now known."""
        report = self.by_token.get(token)
        if report is not None and not report.confirmed:
            self._schedule(report, now)

    def count_unconfirmed(self) -> int:
        """Return the number of outcomes that are still repeated."""
        return sum(not report.confirmed for report in self.by_token.values())

    def take_due(self, now: Millis) -> list[ClaimOutcome]:
        """Return the outcomes to send now and forget the oldest."""
        due = []
        while self.queue and self.queue[0][0] <= now:
            at, token = heapq.heappop(self.queue)
            report = self.by_token.get(token)
            if report is None or report.due != at:
                continue
            if now >= report.forget_at:
                self.by_token.pop(token)
                continue
            due.append(report.outcome)
            delay = FIRST_REPORT_RETRY_MS * 2**report.attempts
            report.attempts = min(report.attempts + 1, 10)
            self._schedule(report, later(now, min(delay, LAST_REPORT_RETRY_MS)))
        return due

    def _schedule(self, report: Report, due: Millis) -> None:
        report.due = due
        heapq.heappush(self.queue, (due, report.outcome.token))
