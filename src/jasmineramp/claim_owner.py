"""Take over a partition of the claims and append to its log."""

import random
import struct

import msgspec

from jasmineramp.claim_ledger import ClaimLedger
from jasmineramp.claim_log import (
    Head,
    LogRecord,
    OwnerEntry,
    decode_head,
    decode_owner,
    encode,
    head_key,
    log_key,
    owner_key,
)
from jasmineramp.claim_reader import LogReader
from jasmineramp.claim_settings import (
    APPEND_INTERVAL_MS,
    BACKUP_DOMAIN_DELAY_MS,
    CLAIMS_PER_PERIOD,
    FAILURES_UNTIL_UNAVAILABLE,
    HAND_BACK_DELAY_MS,
    MAX_PERIOD_MS,
    OWNER_LEASE_MS,
    PERIOD_LEASE_MS,
    PERIOD_MS,
    POLL_INTERVAL_MS,
    RECORDS_PER_PERIOD,
    RENEW_INTERVAL_MS,
    USABLE_LEASE_FRACTION,
    ClaimSettings,
    Phase,
)
from jasmineramp.clock import Millis, later
from jasmineramp.effects import Effect, EventKind, RecordEvent
from jasmineramp.ids import NodeId, PartitionId
from jasmineramp.store_messages import (
    CompareAndSwap,
    Get,
    GrantLease,
    KeepAlive,
    Operation,
    Outcome,
    RevokeLease,
    Role,
    StoreAnswer,
    StoreAnswered,
    StoreRequest,
)
from jasmineramp.store_steps import StoreStep


class ClaimOwner:
    """Own a partition for a term, from taking it over to giving it up.

    A new owner creates a sealing record at the first absent sequence number.
    It fences the predecessor, whose next append conflicts with it.
    """

    def __init__(
        self,
        partition: PartitionId,
        settings: ClaimSettings,
        rng: random.Random,
    ) -> None:
        self.partition = partition
        self.settings = settings
        self.random = rng
        prefix = f'claims/{partition}'
        self.step = StoreStep(Role.claim, f'{prefix}/step', rng)
        self.renewal = StoreStep(Role.claim, f'{prefix}/renewal', rng)
        self.reader: LogReader | None = None
        # Makes the names of authors, leases and request tags unique.
        self.serial = 0
        self.phase = Phase.idle
        self.rank: int | None = None
        self.owner = NodeId('')
        self.poll_at = Millis(0)
        self.owner_absent_since: Millis | None = None
        self.preferred_elsewhere_since: Millis | None = None
        self.author = ''
        self.lease_until: Millis | None = None
        self.renew_at = Millis(0)
        self.period_lease = ''
        self.period_since = Millis(0)
        self.records_in_period = 0
        self.next_sequence = 0
        self.head_revision = 0
        self.next_append_at = Millis(0)
        self.ready = False
        self.resigning = False
        self.ledger = self._new_ledger()

    @property
    def accepting(self) -> bool:
        """Return whether the owner accepts new claims."""
        return self.ready and not self.resigning

    @property
    def writable(self) -> bool:
        """Return whether the store is presumed to accept writes."""
        return self.step.failures < FAILURES_UNTIL_UNAVAILABLE

    @property
    def owner_hint(self) -> NodeId:
        """Return the owner if it is another node, else an empty name."""
        return NodeId('') if self.owner == self.settings.node else self.owner

    def set_rank(self, rank: int | None) -> None:
        """Set the node's rank among the candidates; None if it is not one."""
        self.rank = rank
        if rank is None and not self.ready:
            # Without polling, a stale owner name would never be corrected.
            self.owner = NodeId('')

    def tick(self, now: Millis) -> list[Effect]:
        """Start requests that are due; step down when the lease expires."""
        effects = self.step.tick(now) + self.renewal.tick(now)
        if self.reader is not None:
            effects += self.reader.tick(now)
        if self.phase is Phase.idle:
            if self.rank is not None and now >= self.poll_at:
                effects += self._enter_phase(
                    Phase.polling, Get(owner_key(self.partition)), now
                )
        elif self.lease_until is not None:
            if now >= self.lease_until:
                return effects + self._step_down(now, 'lease has lapsed')
            if now >= self.renew_at and not self.renewal.busy:
                keep_alive = KeepAlive(self._lease_name())
                effects += self.renewal.start(keep_alive, now)
        if self.ready:
            effects += self._serve(now)
        return effects

    def update_hand_back(self, preferred_elsewhere: bool, now: Millis) -> None:
        """Hand the partition back once its preferred domain stays alive."""
        if not preferred_elsewhere:
            self.preferred_elsewhere_since = None
        elif self.preferred_elsewhere_since is None:
            self.preferred_elsewhere_since = now
        elif (
            self.ready
            and now - self.preferred_elsewhere_since >= HAND_BACK_DELAY_MS
        ):
            self.resigning = True

    def resign(self, now: Millis) -> list[Effect]:
        """Refuse new claims and step down once the queued ones are written."""
        self.rank = None
        if self.ready:
            self.resigning = True
            return self.flush(now)
        if self.phase in {Phase.idle, Phase.polling}:
            return []
        return self._step_down(now, 'node is stopping')

    def answered(self, event: StoreAnswered, now: Millis) -> list[Effect]:
        """Handle the answer to one of the owner's store requests."""
        try:
            return self._on_answer(event, now)
        except (msgspec.MsgspecError, struct.error):
            return self._step_down(now, f'cannot decode {event.operation.key}')

    def _on_answer(self, event: StoreAnswered, now: Millis) -> list[Effect]:
        if self.reader is not None and self.reader.answered(event, now):
            return self._continue_reading(now)
        if event.tag == self.renewal.tag:
            return self._on_renewed(event, now)
        answer, effects = self.step.answered(event, now)
        if answer is None:
            return effects
        if self.phase is Phase.polling:
            return self._on_polled(answer, now)
        if answer.outcome is Outcome.done:
            return self._on_step_done(answer, now)
        return self._on_conflict(now)

    def flush(self, now: Millis) -> list[Effect]:
        """Write the next batch if one is due."""
        if self.phase is not Phase.serving or self.step.busy:
            return []
        if now < self.next_append_at:
            return []
        if self._is_period_over(now):
            return self._begin_period(now)
        record = self.ledger.take_record(self.author, now)
        if record is not None:
            return self._append(record, now)
        if self.resigning:
            return self._step_down(now, 'partition is handed over')
        return []

    def _serve(self, now: Millis) -> list[Effect]:
        if now - self.period_since > MAX_PERIOD_MS:
            return self._step_down(now, 'log period cannot be renewed')
        return self.ledger.expire(now) + self.flush(now)

    def _on_renewed(self, event: StoreAnswered, now: Millis) -> list[Effect]:
        answer, effects = self.renewal.answered(event, now)
        if answer is None:
            return effects
        if answer.outcome is not Outcome.done:
            return self._step_down(now, 'lease is absent')
        self._extend_lease(self.renewal.sent_at)
        return effects

    def _on_step_done(self, answer: StoreAnswer, now: Millis) -> list[Effect]:
        match self.phase:
            case Phase.head:
                return self._read_head(answer, now)
            case Phase.heading:
                return self._start_serving(answer, now)
        steps = {
            Phase.leasing: self._on_lease_granted,
            Phase.owning: self._begin_period,
            Phase.period: self._on_period_lease_granted,
            Phase.sealing: self._on_sealed,
            Phase.serving: self._on_appended,
        }
        return steps[self.phase](now)

    def _on_conflict(self, now: Millis) -> list[Effect]:
        if self.phase is Phase.sealing and not self.ready:
            # The predecessor appended another record first; read it as well.
            head = Head('', len(self.settings.domains), self.next_sequence)
            return self._read_from(head, now)
        return self._step_down(now, f'lost a race while {self.phase.value}')

    def _on_polled(self, answer: StoreAnswer, now: Millis) -> list[Effect]:
        self.phase = Phase.idle
        self.poll_at = later(
            now, self.random.uniform(POLL_INTERVAL_MS / 2, POLL_INTERVAL_MS)
        )
        self.owner = NodeId('')
        if self.rank is None:
            return []
        if answer.revision and answer.body is not None:
            self.owner = decode_owner(answer.body).node
            self.owner_absent_since = None
            return []
        if self.owner_absent_since is None:
            self.owner_absent_since = now
        absent_ms = now - self.owner_absent_since
        if self.rank and absent_ms < BACKUP_DOMAIN_DELAY_MS:
            return []
        return self._request_lease(now)

    def _request_lease(self, now: Millis) -> list[Effect]:
        self.serial += 1
        self.author = (
            f'{self.settings.node}/{self.settings.incarnation}/{self.serial}'
        )
        self.lease_until = None
        lease = GrantLease(self._lease_name(), OWNER_LEASE_MS)
        return self._enter_phase(Phase.leasing, lease, now)

    def _on_lease_granted(self, now: Millis) -> list[Effect]:
        self._extend_lease(self.step.sent_at)
        entry = OwnerEntry(self.settings.node, self.author)
        write = CompareAndSwap(
            owner_key(self.partition), 0, encode(entry), self._lease_name()
        )
        return self._enter_phase(Phase.owning, write, now)

    def _extend_lease(self, sent_at: Millis) -> None:
        self.lease_until = later(
            sent_at, OWNER_LEASE_MS * USABLE_LEASE_FRACTION
        )
        self.renew_at = later(sent_at, RENEW_INTERVAL_MS)

    def _lease_name(self) -> str:
        return f'claims/lease/{self.partition}/{self.author}'

    def _begin_period(self, now: Millis) -> list[Effect]:
        self.serial += 1
        self.period_lease = (
            f'claims/period/{self.partition}/{self.author}/{self.serial}'
        )
        lease = GrantLease(self.period_lease, PERIOD_LEASE_MS)
        return self._enter_phase(Phase.period, lease, now)

    def _on_period_lease_granted(self, now: Millis) -> list[Effect]:
        self.period_since = self.step.sent_at
        if self.ready:
            return self._seal(now)
        return self._enter_phase(Phase.head, Get(head_key(self.partition)), now)

    def _read_head(self, answer: StoreAnswer, now: Millis) -> list[Effect]:
        self.head_revision = answer.revision
        partitions = len(self.settings.domains)
        head = Head('', partitions, 0)
        if answer.revision and answer.body is not None:
            head = decode_head(answer.body)
        if head.partitions != partitions:
            return self._step_down(now, 'number of partitions differs')
        return self._read_from(head, now)

    def _read_from(self, head: Head, now: Millis) -> list[Effect]:
        self.phase = Phase.reading
        self.serial += 1
        prefix = f'claims/{self.partition}/read/{self.serial}'
        self.reader = LogReader(self.partition, prefix, head)
        return self._continue_reading(now)

    def _continue_reading(self, now: Millis) -> list[Effect]:
        reader = self.reader
        if reader is None:
            return []
        for record in reader.drain():
            self.ledger.load(record, now)
        if not reader.finished:
            return reader.advance()
        self.next_sequence = reader.next_sequence
        self.reader = None
        return self._seal(now)

    def _seal(self, now: Millis) -> list[Effect]:
        self.phase = Phase.sealing
        summary = self.ledger.table.summarise()
        return self._append(LogRecord(self.author, summary=summary), now)

    def _on_sealed(self, now: Millis) -> list[Effect]:
        ended = self.ledger.table.ended
        ended.confirm_summary(self.next_sequence, now)
        self.next_sequence += 1
        head = Head(
            self.author,
            len(self.settings.domains),
            self.next_sequence,
            ended.list_ages(now),
        )
        write = CompareAndSwap(
            head_key(self.partition), self.head_revision, encode(head)
        )
        return self._enter_phase(Phase.heading, write, now)

    def _start_serving(self, answer: StoreAnswer, now: Millis) -> list[Effect]:
        self.head_revision = answer.revision
        self.records_in_period = 0
        self.phase = Phase.serving
        effects: list[Effect] = []
        if not self.ready:
            self.ready = True
            self.owner = self.settings.node
            effects.append(self._record_change('owner is serving'))
        return effects + self.flush(now)

    def _append(self, record: LogRecord, now: Millis) -> list[Effect]:
        self.next_append_at = later(now, APPEND_INTERVAL_MS)
        key = log_key(self.partition, self.next_sequence)
        write = CompareAndSwap(key, 0, encode(record), self.period_lease)
        return self.step.start(write, now)

    def _on_appended(self, now: Millis) -> list[Effect]:
        self.next_sequence += 1
        self.records_in_period += 1
        return self.ledger.confirm() + self.flush(now)

    def _step_down(self, now: Millis, reason: str) -> list[Effect]:
        effects = [self._record_change(reason), *self.ledger.abort()]
        if self.lease_until is not None and self.lease_until > now:
            tag = f'claims/{self.partition}/revoke/{self.serial}'
            revoke = RevokeLease(self._lease_name())
            effects.append(StoreRequest(Role.claim, tag, revoke))
        self.step.cancel()
        self.renewal.cancel()
        self.reader = None
        self.phase = Phase.idle
        self.owner = NodeId('')
        self.poll_at = later(now, self.random.uniform(0, POLL_INTERVAL_MS))
        self.owner_absent_since = None
        self.preferred_elsewhere_since = None
        self.lease_until = None
        self.ready = False
        self.resigning = False
        self.ledger = self._new_ledger()
        return effects

    def _enter_phase(
        self, phase: Phase, operation: Operation, now: Millis
    ) -> list[Effect]:
        self.phase = phase
        return self.step.start(operation, now)

    def _record_change(self, change: str) -> Effect:
        fields = {
            'partition': self.partition,
            'change': change,
            'claims': len(self.ledger.table),
        }
        return RecordEvent(EventKind.claim_changed, fields)

    def _new_ledger(self) -> ClaimLedger:
        return ClaimLedger(self.partition, self.settings)

    def _is_period_over(self, now: Millis) -> bool:
        return (
            now - self.period_since >= PERIOD_MS
            or self.records_in_period >= RECORDS_PER_PERIOD
            or len(self.ledger.table.ended.recent) >= CLAIMS_PER_PERIOD
        )
