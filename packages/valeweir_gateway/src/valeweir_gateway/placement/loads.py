"""What each engine has to do, as far as this gateway and its peers know.

An engine reads prompts one after the other between the steps of running
requests, so the wait for a first event follows from the prompt tokens sent
there and not read yet. The reading rate is not declared anywhere: it is
learned from how long first events took.
"""

import collections
import threading

from ..digests import get_digest
from .work import FIRST_PAUSE, InstanceLoad, Work

_FIRST_RATE = 30_000.0
_MIN_RATE = 2_000.0
_MAX_RATE = 400_000.0
_RATE_MEMORY = 0.05
_FIRST_BASE = 0.05
_BASE_MEMORY = 0.02
_MIN_READ = 1_500
# Seconds that a plain call takes to begin with, and the part of the mean that a new
# figure makes up.
_FIRST_CALL_TIME = 0.05
_CALL_MEMORY = 0.1
_CACHE_LIFETIME = 60.0
_MAX_PARTS = 20_000
_MAX_READS = 200
_SILENCE = 1.0
_ERRORS_TO_EJECT = 2
_MAX_PAUSE = 8.0


class Loads:
    """Work and condition of every instance, and where prompt parts were read.

    All methods may be called from any thread; ``now`` is on the steady clock.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._by_id = {}
        self._parts = {}
        self._listed = set()
        # Rises when this gateway's own work changes.
        self.version = 0
        self.rate = _FIRST_RATE
        self.base = _FIRST_BASE
        self.call_time = _FIRST_CALL_TIME

    def get(self, instance_id, now):
        """Return the `InstanceLoad` of an instance."""
        load = self._by_id.get(instance_id)
        if load is None:
            load = self._by_id.setdefault(instance_id, InstanceLoad(now))
        return load

    def forget(self, instance_id):
        """Drop what is known of an instance that is gone."""
        with self._lock:
            self.version += 1
            self._by_id.pop(instance_id, None)
            self._listed.discard(instance_id)
            for holders in self._parts.values():
                holders.pop(instance_id, None)

    def is_cached(self, part_id, instance_id, now):
        """Return whether the instance has probably read the part lately."""
        at = self._parts.get(get_digest(part_id), {}).get(instance_id)
        return at is not None and now - at < _CACHE_LIFETIME

    def count_held(self, parts, now):
        """Return {instance id: tokens} of the leading parts probably held there."""
        held = {}
        leading = None
        oldest = now - _CACHE_LIFETIME
        for part in parts:
            holders = self._parts.get(get_digest(part.id))
            if not holders:
                break
            if leading is None:
                rows = list(holders.items())
                leading = [name for name, at in rows if at > oldest]
            else:
                leading = [name for name in leading if holders.get(name, 0.0) > oldest]
            for name in leading:
                held[name] = held.get(name, 0) + part.tokens
        return held

    def is_listed(self, instance_id):
        """Return whether it is known what the instance held at some time."""
        return instance_id in self._listed

    def note_listed(self, instance_id, digests, now):
        """Note which parts the instance says that it holds."""
        for digest in digests:
            self.note_digest(digest, instance_id, now)
        self._listed.add(instance_id)

    def get_listed(self, now):
        """Return {instance digest: part digests} of the instances that were listed."""
        oldest = now - _CACHE_LIFETIME
        with self._lock:
            listed = {instance_id: [] for instance_id in self._listed}
            for digest, holders in self._parts.items():
                for instance_id, at in holders.items():
                    if at > oldest and instance_id in listed:
                        listed[instance_id].append(digest)
        return {get_digest(name): parts for name, parts in listed.items()}

    def note_parts(self, parts, instance_id, now):
        """Note that the instance reads these parts."""
        for part in parts:
            self.note_digest(get_digest(part.id), instance_id, now)

    def note_digest(self, digest, instance_id, now):
        """Note that the instance reads the part with this digest."""
        with self._lock:
            self._parts.setdefault(digest, {})[instance_id] = now
            while len(self._parts) > _MAX_PARTS:
                self._parts.pop(next(iter(self._parts)))

    def estimate_wait(self, load, tokens):
        """Return seconds until a request with ``tokens`` to read gives an event."""
        return self.estimate_alone(load, load.unread + load.remote_unread + tokens)

    def estimate_alone(self, load, tokens):
        """Return the same for an instance that has nothing else to read."""
        return self.base + load.slowness * tokens / self.rate

    def estimate_backlog(self, instances, now):
        """Return the mean seconds that instances have to read already."""
        if not instances:
            return 0.0
        loads = [self.get(row.id, now) for row in instances]
        unread = sum(load.unread + load.remote_unread for load in loads)
        return unread / len(loads) / self.rate

    def estimate_call(self, load, slots):
        """Return seconds that a plain call takes at an instance with ``slots``.

        Calls beyond the slots wait for one, in order of arrival.
        """
        own = self.call_time if load.call_time is None else load.call_time
        return own * _count_turns(load.active + load.remote_active, slots)

    def note_call(self, work, slots, elapsed):
        """Learn from the time that a plain call took."""
        own = elapsed / _count_turns(work.running, slots)
        with self._lock:
            load = self._by_id.get(work.instance_id)
            if load is None:
                return
            self.call_time += _CALL_MEMORY * (own - self.call_time)
            known = self.call_time if load.call_time is None else load.call_time
            load.call_time = known + _CALL_MEMORY * (own - known)

    def start(self, instance_id, tokens, now):
        """Note a request sent; return its `Work`."""
        with self._lock:
            load = self.get(instance_id, now)
            if load.active == 0:
                load.heard = now
            ahead = load.unread + load.remote_unread
            running = load.active + load.remote_active
            load.unread += tokens
            load.active += 1
            self.version += 1
            if load.until and now >= load.until:
                load.probing = True
            return Work(instance_id, tokens, ahead, running, now)

    def note_head(self, instance_id, now):
        """Note that the head of an answer has come."""
        load = self._by_id.get(instance_id)
        if load is not None:
            load.answered = now

    def note_progress(self, work, now):
        """Note that something of the answer has come."""
        load = self.get(work.instance_id, now)
        load.heard = now
        if work.is_read:
            return
        work.first = now - work.sent
        with self._lock:
            self._note_read(work, load)
            self._learn(work, load, work.first)

    def finish(self, work, now):
        """Note the end of a request, whatever it was."""
        with self._lock:
            load = self._by_id.get(work.instance_id)
            if load is None:
                # The instance is gone.
                return
            load.active = max(0, load.active - 1)
            self.version += 1
            if not work.is_read:
                self._note_read(work, load)

    def note_success(self, instance_id, now):
        """Note a whole answer; return whether it ended an ejection."""
        load = self.get(instance_id, now)
        ended = load.until > 0.0
        load.errors = 0
        load.until = 0.0
        load.probing = False
        if ended:
            load.pause = FIRST_PAUSE
        return ended

    def note_error(self, instance_id, now, severe=False):
        """Note a failure; return the pause in seconds if it ejects, or None."""
        load = self.get(instance_id, now)
        load.errors += 1
        if load.errors < _ERRORS_TO_EJECT and not load.probing and not severe:
            return None
        if now < load.until:
            return None
        load.until = now + load.pause
        pause, load.pause = load.pause, min(load.pause * 2, _MAX_PAUSE)
        load.probing = False
        return pause

    def note_replaced(self, instance_id, now):
        """Note that another instance has the address; this one is gone."""
        load = self.get(instance_id, now)
        load.until = now + _MAX_PAUSE
        load.probing = False

    def note_released(self, instance_id, now):
        """Note an end that tells nothing about the instance."""
        self.get(instance_id, now).probing = False

    def pick_usable(self, instances, now):
        """Return the instances that are neither set aside nor silent, if any."""
        usable = [row for row in instances if self.is_usable(row.id, now)]
        heard = [row for row in usable if not self.is_silent(row.id, now)]
        return heard or usable

    def is_usable(self, instance_id, now):
        """Return whether a request may go there."""
        load = self.get(instance_id, now)
        if load.until:
            return now >= load.until and not load.probing
        return True

    def is_silent(self, instance_id, now):
        """Return whether requests run there and nothing has come for long."""
        load = self.get(instance_id, now)
        if load.active == 0:
            return False
        expected = self.base + load.slowness * load.unread / self.rate
        return now - load.heard > max(_SILENCE, 2.0 * expected)

    def get_report(self):
        """Return {instance id: (unread, active)} of this gateway's own work."""
        with self._lock:
            return {
                instance_id: (load.unread, load.active)
                for instance_id, load in self._by_id.items()
                if load.active
            }

    def set_remote(self, totals, now):
        """Take in the sums of what the peers report."""
        with self._lock:
            for instance_id, load in self._by_id.items():
                unread, active = totals.get(instance_id, (0, 0))
                load.remote_unread = unread
                load.remote_active = active
            for instance_id in totals.keys() - self._by_id.keys():
                load = self.get(instance_id, now)
                load.remote_unread, load.remote_active = totals[instance_id]

    def _note_read(self, work, load):
        work.is_read = True
        self.version += 1
        load.unread = max(0, load.unread - work.tokens)

    def _learn(self, work, load, elapsed):
        if work.tokens == 0:
            # A plain call; what it takes says nothing of engines.
            return
        total = work.ahead + work.tokens
        reading = elapsed - self.base
        if total < _MIN_READ:
            if work.ahead == 0:
                self.base += _BASE_MEMORY * (min(elapsed, 1.0) - self.base)
            return
        if reading <= 0:
            return
        rate = min(_MAX_RATE, max(_MIN_RATE, total / reading))
        self.rate += _RATE_MEMORY * (rate - self.rate)
        slowness = self.rate / rate
        load.slowness += 0.1 * (min(8.0, max(0.5, slowness)) - load.slowness)


def _count_turns(running, slots):
    """Return how many times its own time a call takes behind ``running`` others."""
    return max(1.0, (running + 1) / max(1, slots))


class Reads:
    """Prompt parts that an instance reads for the first time, for the peers."""

    def __init__(self):
        self._rows = collections.deque(maxlen=_MAX_READS)

    def __len__(self):
        return len(self._rows)

    def add(self, instance_id, parts):
        """Note that the instance reads these parts."""
        for part in parts:
            self._rows.append((get_digest(instance_id), get_digest(part.id)))

    def take(self):
        """Return and forget every row."""
        rows = []
        while self._rows:
            rows.append(self._rows.popleft())
        return rows
