"""Plots the results of experiments and the losses found in logs."""

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  (the backend must be set first)


def draw_curves(results, path):
    """Plot the service per share of each account over time, one panel per run."""
    fig, axes = pyplot.subplots(
        1, len(results), figsize=(6 * len(results), 4), sharey=True, squeeze=False
    )
    for axis, result in zip(axes[0], results, strict=True):
        for account, curve in result["curve"].items():
            axis.plot(curve, label=account, linewidth=1)
        gap = result["fairness_gap_mean_requests"]
        axis.set_title(f"{result['sharing']}: fairness gap {gap}")
        axis.set_xlabel("seconds")
    axes[0][0].set_ylabel("service per share (cost)")
    axes[0][-1].legend(fontsize=6)
    fig.tight_layout()
    fig.savefig(path)


def draw_losses(width, counts, path):
    """Plot losses over time, stacked by reason.

    ``counts`` is {reason: [count by bin]}, with bins of ``width`` seconds.
    """
    fig, axis = pyplot.subplots(figsize=(9, 4))
    if counts:
        seconds = [width * index for index in range(len(next(iter(counts.values()))))]
        axis.stackplot(seconds, *counts.values(), labels=list(counts))
        axis.legend(fontsize=7, loc="upper right")
    axis.set_xlabel("seconds since the first log line")
    axis.set_ylabel(f"requests lost or late in {width} s")
    fig.tight_layout()
    fig.savefig(path)
