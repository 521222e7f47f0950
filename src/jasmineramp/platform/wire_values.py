"""Parse and format durations in the notation of the platform."""

import math

_UNITS_MS = {'ms': 1.0, 's': 1000.0}


def read_duration_ms(text: object) -> float:
    """Return a duration such as 1500ms or 2.5s in ms; raise ValueError."""
    if isinstance(text, str):
        for unit, factor in _UNITS_MS.items():
            if text.endswith(unit):
                number = text[: -len(unit)]
                if number and number[-1].isdigit():
                    duration = float(number) * factor
                    if math.isfinite(duration) and duration >= 0:
                        return duration
    raise ValueError(f'{text!r} is not a number with the unit ms or s')


def write_duration_ms(duration_ms: float) -> str:
    """Return a duration rounded to whole milliseconds, such as 1500ms."""
    return f'{round(duration_ms)}ms'
