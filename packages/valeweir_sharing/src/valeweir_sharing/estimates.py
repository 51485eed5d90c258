"""Estimates of a request's cost, learned per account, pool and class."""

_EWMA_ALPHA = 0.1
_DEFAULT_COST = 100.0


class Estimates:
    """Moving means of real costs; the widest one known stands in for a gap."""

    def __init__(self):
        self._means = {}

    def get(self, pool, account, work_class):
        """Return the expected cost of a request."""
        for key in ((pool, account, work_class), (pool, work_class), (pool,)):
            if key in self._means:
                return self._means[key]
        return _DEFAULT_COST

    def learn(self, pool, account, work_class, cost):
        """Take in a real cost."""
        for key in ((pool, account, work_class), (pool, work_class), (pool,)):
            mean = self._means.get(key, cost)
            self._means[key] = mean + _EWMA_ALPHA * (cost - mean)
