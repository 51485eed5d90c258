"""Complete responses to prompts, which show that their parts crash no upstream.

A part that crashes upstreams does so as a response begins, with some software versions
or with all. A response that began after a crash and went on is evidence against blame
of the parts of its prompt, at the version that responded.
"""

import collections
import threading
from typing import NamedTuple

# A response of which more data arrives this long after the first counts as complete.
PROOF_S = 0.5
# How long a part is known to have been answered.
_RECENT_S = 60.0
_MAX_COUNT = 16_384
# The record of an upstream that has crashed is gone by then.
_CONFIRMATION_DELAY_S = 4.0
_MAX_PENDING_COUNT = 1_000


class Answer(NamedTuple):
    """The digest of a responding version, and when its response began."""

    version: int
    began: float


class PartAnswers:
    """When the last answers to recent parts began; all methods are thread-safe."""

    def __init__(self):
        # {(fingerprint of the part, digest of the version): time of the begin}, the
        # part answered longest ago first.
        self._began = {}
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._began)

    def record(self, fingerprint, answer):
        """Record an `Answer` to a part."""
        key = (fingerprint, answer.version)
        with self._lock:
            began = max(answer.began, self._began.pop(key, answer.began))
            self._began[key] = began
            if len(self._began) > _MAX_COUNT:
                del self._began[next(iter(self._began))]

    def disproves(self, fingerprint, crash):
        """Return whether an answer of the same version began after a `Crash`."""
        began = self._began.get((fingerprint, crash.version))
        return began is not None and began > crash.ended

    def is_recent(self, fingerprint, version, now):
        """Return whether a version has answered a part recently."""
        began = self._began.get((fingerprint, version))
        return began is not None and now - began < _RECENT_S


class PendingAnswer(NamedTuple):
    """An answer that counts unless its upstream turns out to have crashed."""

    due: float
    instance: object
    fingerprints: tuple
    answer: Answer


class PendingAnswers:
    """Answers whose end only the close of a connection marked."""

    def __init__(self):
        self._rows = collections.deque(maxlen=_MAX_PENDING_COUNT)

    def add(self, instance, fingerprints, answer, now):
        """Add an answer of an instance that has just ended."""
        due = now + _CONFIRMATION_DELAY_S
        self._rows.append(PendingAnswer(due, instance, tuple(fingerprints), answer))

    def take_due(self, now):
        """Remove and return the `PendingAnswer` rows that are due."""
        rows = []
        while self._rows and self._rows[0].due <= now:
            rows.append(self._rows.popleft())
        return rows
