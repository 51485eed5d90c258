"""Plots of experiments and of losses."""

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  (the backend has to be set first)


def draw_curves(results, path):
    """Draw service per share over time, by account, one panel a run."""
    fig, axes = pyplot.subplots(
        1, len(results), figsize=(6 * len(results), 4), sharey=True, squeeze=False
    )
    for axis, result in zip(axes[0], results, strict=True):
        for account, curve in result["curve"].items():
            axis.plot(curve, label=account, linewidth=1)
        gap = result["fairness_gap_mean_requests"]
        axis.set_title(f"{result['sharing']}: gap {gap}")
        axis.set_xlabel("seconds")
    axes[0][0].set_ylabel("service per share (cost)")
    axes[0][-1].legend(fontsize=6)
    fig.tight_layout()
    fig.savefig(path)


def draw_losses(width, counts, path):
    """Draw losses over time, stacked by reason.

    ``counts`` is {reason: [count]}, each for ``width`` seconds.
    """
    fig, axis = pyplot.subplots(figsize=(9, 4))
    if counts:
        seconds = [width * index for index in range(len(next(iter(counts.values()))))]
        axis.stackplot(seconds, *counts.values(), labels=list(counts))
        axis.legend(fontsize=7, loc="upper right")
    axis.set_xlabel("seconds since the first line")
    axis.set_ylabel(f"requests lost or late in {width} s")
    fig.tight_layout()
    fig.savefig(path)
