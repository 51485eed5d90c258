"""Computes the fairness gap, the utilisation and the broken promises of a run."""

from typing import NamedTuple

import numpy as np

_STEP_S = 0.1


class FairnessGap(NamedTuple):
    """Fairness gap in mean requests.

    ``largest`` is the greatest difference in service per weight between any two
    accounts over any interval of the window. ``mean`` is the mean over time of the
    spread between the account with the most service and that with the least.
    """

    largest: float
    mean: float
    shares: dict[str, float]


def compute_fairness_gap(results, weights, begin, until):
    """Return the `FairnessGap` of accounts backlogged from ``begin`` to ``until``."""
    times = np.arange(begin, until + _STEP_S, _STEP_S)
    costs = [e.cost for e in results if e.cost > 0 and begin <= e.ended < until]
    if not costs:
        return FairnessGap(float("nan"), float("nan"), {})
    unit = float(np.mean(costs))
    curves = {}
    for account, weight in weights.items():
        rows = sorted(
            (e.ended, e.cost)
            for e in results
            if e.account == account and e.cost > 0 and begin <= e.ended < until
        )
        at = np.array([r[0] for r in rows])
        total = np.concatenate([[0.0], np.cumsum([r[1] for r in rows])])
        curves[account] = total[np.searchsorted(at, times)] / weight / unit
    names = sorted(curves)
    largest = 0.0
    for i, first in enumerate(names):
        for second in names[i + 1 :]:
            diff = curves[first] - curves[second]
            largest = max(largest, float(diff.max() - diff.min()))
    stack = np.stack([curves[n] for n in names])
    mean = float(np.mean(stack.max(axis=0) - stack.min(axis=0)))
    return FairnessGap(largest, mean, {n: float(curves[n][-1]) for n in names})


def compute_utilisation(samples, slots, begin, until):
    """Return the ratio of busy slots while more requests are open than slots.

    Parameters
    ----------
    samples : list of (time, summed busy seconds, requests open)
    """
    busy = 0.0
    span = 0.0
    for (t0, b0, open0), (t1, b1, open1) in zip(samples, samples[1:], strict=False):
        if t0 < begin or t1 > until or min(open0, open1) <= slots:
            continue
        busy += b1 - b0
        span += (t1 - t0) * slots
    return busy / span if span else float("nan")


def count_breaches(results, doubled, run_keys):
    """Return the number of breaches of each promise.

    Parameters
    ----------
    doubled : int
        Number of keys that the stand-ins ran more than once.
    run_keys : set of str
        Keys that the stand-ins ran.
    """
    false_not_run = sum(
        1 for e in results if e.outcome == "not-run" and e.key and e.key in run_keys
    )
    return {
        "lost": sum(1 for e in results if e.fault == "lost"),
        "doubled": doubled,
        "crossed": sum(1 for e in results if e.fault == "crossed"),
        "cut": sum(1 for e in results if e.fault == "cut"),
        "false_not_run": false_not_run,
    }
