"""Estimates of a request's cost, by pool, client account and work class."""

_EWMA_ALPHA = 0.1
_DEFAULT_COST = 100.0


class CostEstimates:
    """Exponentially weighted moving averages of measured request costs.

    Averages are kept by (pool, account, class), by (pool, class) and by pool.
    The most specific one with any data is used.
    """

    def __init__(self):
        self._means = {}

    def get(self, pool, account, work_class):
        """Return the expected cost of a request, or a default without any data."""
        for key in ((pool, account, work_class), (pool, work_class), (pool,)):
            if key in self._means:
                return self._means[key]
        return _DEFAULT_COST

    def update(self, pool, account, work_class, cost):
        """Update the averages with the measured cost of one request."""
        for key in ((pool, account, work_class), (pool, work_class), (pool,)):
            mean = self._means.get(key, cost)
            self._means[key] = mean + _EWMA_ALPHA * (cost - mean)
