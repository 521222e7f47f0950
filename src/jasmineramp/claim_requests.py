"""Hold a node's pending claim requests and unconfirmed outcome reports."""

import heapq

import msgspec

from jasmineramp.claim_messages import ClaimOutcome, ClaimRequest, ClaimResult
from jasmineramp.clock import Millis, later
from jasmineramp.ids import CallId

MIN_REPORT_RETRY_MS = 250.0
MAX_REPORT_RETRY_MS = 8000.0
REPORT_RETENTION_MS = 600_000.0
# A release is retained after its confirmation, because a delayed claim
# request can still be granted and must then be released again.
RELEASE_RETENTION_MS = 30_000.0
MAX_REPORTS = 10_000


class PendingClaim(msgspec.Struct):
    """Hold a claim request that the partition owner has not answered."""

    call_id: CallId
    request: ClaimRequest
    times_out_at: Millis
    resend_at: Millis
    sent: bool = False
    redirects: int = 0


class Report(msgspec.Struct):
    """Hold an outcome that is repeated until its confirmation."""

    outcome: ClaimOutcome
    forget_at: Millis
    due: Millis
    attempts: int = 0
    confirmed: bool = False


class Reports:
    """Repeat outcomes until they are confirmed, bounded in number and time."""

    def __init__(self) -> None:
        self.by_token: dict[int, Report] = {}
        self.queue: list[tuple[Millis, int]] = []

    def add(self, outcome: ClaimOutcome, now: Millis) -> None:
        """Queue an outcome; the oldest is dropped beyond `MAX_REPORTS`."""
        if len(self.by_token) >= MAX_REPORTS:
            self.by_token.pop(next(iter(self.by_token)))
        forget_at = later(now, REPORT_RETENTION_MS)
        self.by_token[outcome.token] = Report(outcome, forget_at, now)
        heapq.heappush(self.queue, (now, outcome.token))

    def confirm(self, token: int, now: Millis) -> None:
        """Stop repeating the outcome of a token; a release is retained."""
        report = self.by_token.get(token)
        if report is None or report.confirmed:
            return
        if report.outcome.result is not ClaimResult.not_run:
            self.by_token.pop(token)
            return
        report.confirmed = True
        report.forget_at = later(now, RELEASE_RETENTION_MS)
        self._schedule(report, report.forget_at)

    def repeat_release(self, token: int, now: Millis) -> None:
        """Send a release again, since its claim was granted afterwards."""
        report = self.by_token.get(token)
        if report is not None and report.outcome.result is ClaimResult.not_run:
            report.confirmed = False
            self._schedule(report, now)

    def send_now(self, token: int, now: Millis) -> None:
        """Schedule an outcome for now, since its owner became known."""
        report = self.by_token.get(token)
        if report is not None and not report.confirmed:
            self._schedule(report, now)

    def count_unconfirmed(self) -> int:
        """Return the number of outcomes that are still being repeated."""
        return sum(not report.confirmed for report in self.by_token.values())

    def take_due(self, now: Millis) -> list[ClaimOutcome]:
        """Return the outcomes to send now; drop those past retention."""
        due = []
        while self.queue and self.queue[0][0] <= now:
            due_at, token = heapq.heappop(self.queue)
            report = self.by_token.get(token)
            if report is None or report.due != due_at:
                continue
            if now >= report.forget_at:
                self.by_token.pop(token)
                continue
            due.append(report.outcome)
            delay = MIN_REPORT_RETRY_MS * 2**report.attempts
            report.attempts = min(report.attempts + 1, 10)
            self._schedule(report, later(now, min(delay, MAX_REPORT_RETRY_MS)))
        return due

    def _schedule(self, report: Report, due: Millis) -> None:
        report.due = due
        heapq.heappush(self.queue, (due, report.outcome.token))
