"""Run a command line and print its report or error."""

import sys
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, NoReturn, TypeVar, cast

import fire
import msgspec
from fire import decorators

from jasmineramp.exceptions import JasminerampError, TableError

DONE = 0
FAILED = 1
BAD_INPUT = 2
CONFLICT = 3
PENDING = 4


_MethodT = TypeVar('_MethodT', bound=Callable[..., Any])


class Report(NamedTuple):
    """Hold the result of a command as text and as data."""

    text: str
    document: Any
    exit_code: int = DONE


def text(*names: str) -> Callable[[_MethodT], _MethodT]:
    """Pass the named arguments, by default all, as text.

    Fire would convert arguments such as 5 to numbers.
    """
    if names:
        decorator = decorators.SetParseFns(**dict.fromkeys(names, str))
    else:
        decorator = decorators.SetParseFn(str)

    def decorate(method: _MethodT) -> _MethodT:
        return cast(_MethodT, decorator(method))

    return decorate


def run_command(
    component: Any,
    name: str,
    arguments: Sequence[str] | None = None,
) -> NoReturn:
    """Run a fire component whose methods return reports, then exit."""
    words = list(sys.argv[1:] if arguments is None else arguments)
    as_json = '--json' in words
    words = [word for word in words if word != '--json']
    # Fire must not print the report, because its form depends on --json.
    try:
        report = fire.Fire(component, words, name, serialize=_print_nothing)
    except JasminerampError as error:
        _print_error(error, as_json=as_json)
        sys.exit(error.exit_code)
    except OSError as error:
        failure = JasminerampError(str(error), 'check the path')
        _print_error(failure, as_json=as_json)
        sys.exit(BAD_INPUT)
    if not isinstance(report, Report):
        sys.exit(BAD_INPUT if words else DONE)
    if as_json:
        sys.stdout.write(f'{msgspec.json.encode(report.document).decode()}\n')
    elif report.text:
        sys.stdout.write(f'{report.text}\n')
    sys.exit(report.exit_code)


def _print_nothing(report: Any) -> Any:
    return None if isinstance(report, Report) else report


def _print_error(error: JasminerampError, *, as_json: bool) -> None:
    if not as_json:
        line = str(error).replace('\n', ' ')
        sys.stderr.write(f'error: {line}\n')
        return
    document = {'error': error.message, 'remedy': error.remedy}
    if isinstance(error, TableError):
        document['row'] = error.row
        document['column'] = error.column
        document['value'] = str(error.cell)
    sys.stderr.write(f'{msgspec.json.encode(document).decode()}\n')
