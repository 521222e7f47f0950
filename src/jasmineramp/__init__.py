"""Overload control layer for service call graphs."""

from jasmineramp.clock import Clock, ManualClock, Millis, MonotonicClock
from jasmineramp.exceptions import JasminerampError, SettingsError, TableError
from jasmineramp.refusals import Refusal, RefusalCode, RunState
from jasmineramp.table import CallRow, KeyRow, Table, WorkspaceRow, check_table

__all__ = [
    'CallRow',
    'Clock',
    'JasminerampError',
    'KeyRow',
    'ManualClock',
    'Millis',
    'MonotonicClock',
    'Refusal',
    'RefusalCode',
    'RunState',
    'SettingsError',
    'Table',
    'TableError',
    'WorkspaceRow',
    'check_table',
]
