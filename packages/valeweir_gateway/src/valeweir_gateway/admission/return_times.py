"""Times of return of model requests that are refused because of load.

A response is worth most if its first event arrives within the latency target, counted
from the client's first attempt. A return within the target is therefore preferred while
the fleet begins enough of what it is asked for. Otherwise returns are spread over the
time in which the fleet begins as many tokens as it refused lately, since requests that
return together are refused together again. The decision needs no messages of its own:
its inputs are known from the reports on shares and loads.
"""

from typing import NamedTuple

# Retry-After is sent in hundredths of a second.
_MIN_RETURN_S = 0.02
# Clients ignore a Retry-After longer than this part of their remaining time.
_MAX_RETURN_RATIO = 1 / 3
# Part of the tokens asked for that the fleet must begin for a return within the target.
# A late response earns 0.3 of one on time, and the part lags behind the load by up to
# the window; at 0.3 returns after a burst were still late although engines were idle.
_MIN_BEGUN_RATIO = 0.2
# Late returns spread over at least this part of the time up to the last of them.
_MIN_SPREAD_RATIO = 0.5

ON_TIME = "on-time"
LATE = "late"
NONE = "none"


class ReturnInputs(NamedTuple):
    """Values that determine a time of return; times are in seconds.

    ``refused_tokens`` are the tokens that the fleet refused in the last ``window`` and
    ``tokens_per_second`` is the rate at which it began others. ``wait`` is the expected
    time to the first event at the best engine, 0 if none was evaluated, ``limit`` its
    upper bound for admission and ``alone`` that time with an empty queue. ``spent`` and
    ``left`` are the client's time since its first attempt and until its deadline.
    ``draw`` is a random number from 0 to 1.
    """

    refused_tokens: float
    tokens_per_second: float
    window: float
    wait: float
    limit: float
    alone: float
    latency_target: float
    spent: float
    left: float
    draw: float


class ReturnWindow(NamedTuple):
    """Bounds of a return in seconds, and whether it can be on time or is ``late``."""

    start: float
    end: float
    timing: str


def compute_retry_after(inputs):
    """Return the Retry-After in seconds, or None if the client's time is too short."""
    window = compute_return_window(inputs)
    if window is None:
        return None
    return window.start + inputs.draw * (window.end - window.start)


def compute_return_window(inputs):
    """Return the `ReturnWindow` of a request, or None if it can no longer be served.

    It can no longer be served if the first event is not expected before the deadline.
    """
    latest = inputs.left * _MAX_RETURN_RATIO
    first_event = max(inputs.wait, _MIN_RETURN_S + inputs.alone)
    if latest < _MIN_RETURN_S or first_event >= inputs.left:
        return None
    # An engine works its queue off in real time, so its wait falls to the limit after
    # the difference.
    start = max(_MIN_RETURN_S, inputs.wait - inputs.limit)
    on_time_end = min(latest, _get_on_time_end(inputs))
    if start < on_time_end and _compute_begun_ratio(inputs) >= _MIN_BEGUN_RATIO:
        return ReturnWindow(start, on_time_end, ON_TIME)
    start = max(start, on_time_end)
    min_end = start / (1.0 - _MIN_SPREAD_RATIO)
    end = min(latest, max(min_end, _estimate_backlog(inputs)))
    return ReturnWindow(min(start, end * (1.0 - _MIN_SPREAD_RATIO)), end, LATE)


def describe_return(inputs):
    """Return the log fields of a time of return; times are in milliseconds."""
    window = compute_return_window(inputs)
    return {
        "refused_tokens": round(inputs.refused_tokens),
        "begun_per_s": round(inputs.tokens_per_second),
        "spent_ms": round(inputs.spent * 1000),
        "left_ms": round(inputs.left * 1000),
        "return_from_ms": round(window.start * 1000) if window else None,
        "return_until_ms": round(window.end * 1000) if window else None,
        "return_timing": window.timing if window else NONE,
    }


def _get_on_time_end(inputs):
    """Return the latest return in seconds whose first event is expected on time.

    The wait of admitted requests lies between that at an empty queue and the limit.
    """
    expected_wait = (inputs.limit + inputs.alone) / 2
    return inputs.latency_target - inputs.spent - expected_wait


def _compute_begun_ratio(inputs):
    """Return the part of the tokens asked for that the fleet began.

    It is 1 if none were begun: the gateway has just started, or engines can be reached
    again after an outage and are idle.
    """
    begun_tokens = inputs.tokens_per_second * inputs.window
    if not begun_tokens:
        return 1.0
    return begun_tokens / (begun_tokens + inputs.refused_tokens)


def _estimate_backlog(inputs):
    """Return the seconds in which the fleet begins as much as it refused."""
    if not inputs.refused_tokens:
        return 0.0
    if not inputs.tokens_per_second:
        return float("inf")
    return inputs.refused_tokens / inputs.tokens_per_second
