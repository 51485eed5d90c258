"""What each engine has to do, as far as this gateway and its peers know.

An engine reads prompts one after the other between the steps of running
requests, so the wait for a first event follows from the prompt tokens sent
there and not read yet. The reading rate is not declared anywhere: it is
learned from how long first events took.
"""

import collections
import threading

from ..digests import get_digest
from .work import INITIAL_EJECTION_S, InstanceLoad, Work

_INITIAL_RATE_TOKENS_PER_S = 30_000.0
_MIN_RATE_TOKENS_PER_S = 2_000.0
_MAX_RATE_TOKENS_PER_S = 400_000.0
_RATE_EWMA_ALPHA = 0.05
_INITIAL_BASE_S = 0.05
_BASE_EWMA_ALPHA = 0.02
_MIN_SAMPLE_TOKENS = 1_500
# Seconds that a plain call takes to begin with, and the part of the mean that a new
# figure makes up.
_INITIAL_CALL_TIME_S = 0.05
_CALL_TIME_EWMA_ALPHA = 0.1
_CACHE_LIFETIME_S = 60.0
_MAX_PARTS = 20_000
_MAX_READS = 200
_MIN_STALL_S = 1.0
_EJECTION_ERROR_COUNT = 2
_MAX_EJECTION_S = 8.0


class Loads:
    """Work and condition of every instance, and where prompt parts were read.

    All methods may be called from any thread; ``now`` is on the steady clock.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._by_id = {}
        self._holders_by_digest = {}
        self._listed_ids = set()
        # Rises when this gateway's own work changes.
        self.version = 0
        self.rate = _INITIAL_RATE_TOKENS_PER_S
        self.base = _INITIAL_BASE_S
        self.call_time = _INITIAL_CALL_TIME_S

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
            self._listed_ids.discard(instance_id)
            for holders in self._holders_by_digest.values():
                holders.pop(instance_id, None)

    def is_cached(self, part_id, instance_id, now):
        """Return whether the instance has probably read the part lately."""
        at = self._holders_by_digest.get(get_digest(part_id), {}).get(instance_id)
        return at is not None and now - at < _CACHE_LIFETIME_S

    def count_held(self, parts, now):
        """Return {instance id: tokens} of the leading parts probably held there."""
        held = {}
        leading = None
        oldest = now - _CACHE_LIFETIME_S
        for part in parts:
            holders = self._holders_by_digest.get(get_digest(part.id))
            if not holders:
                break
            if leading is None:
                rows = list(holders.items())
                leading = [instance_id for instance_id, at in rows if at > oldest]
            else:
                leading = [
                    instance_id
                    for instance_id in leading
                    if holders.get(instance_id, 0.0) > oldest
                ]
            for instance_id in leading:
                held[instance_id] = held.get(instance_id, 0) + part.tokens
        return held

    def is_listed(self, instance_id):
        """Return whether it is known what the instance held at some time."""
        return instance_id in self._listed_ids

    def record_listed(self, instance_id, digests, now):
        """Note which parts the instance says that it holds."""
        for digest in digests:
            self.note_digest(digest, instance_id, now)
        self._listed_ids.add(instance_id)

    def get_listed(self, now):
        """Return {instance digest: part digests} of the instances that were listed."""
        oldest = now - _CACHE_LIFETIME_S
        with self._lock:
            listed = {instance_id: [] for instance_id in self._listed_ids}
            for digest, holders in self._holders_by_digest.items():
                for instance_id, at in holders.items():
                    if at > oldest and instance_id in listed:
                        listed[instance_id].append(digest)
        return {get_digest(instance_id): parts for instance_id, parts in listed.items()}

    def note_parts(self, parts, instance_id, now):
        """Note that the instance reads these parts."""
        for part in parts:
            self.note_digest(get_digest(part.id), instance_id, now)

    def note_digest(self, digest, instance_id, now):
        """Note that the instance reads the part with this digest."""
        with self._lock:
            self._holders_by_digest.setdefault(digest, {})[instance_id] = now
            while len(self._holders_by_digest) > _MAX_PARTS:
                self._holders_by_digest.pop(next(iter(self._holders_by_digest)))

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
        service_time = self.call_time if load.call_time is None else load.call_time
        return service_time * _compute_queue_factor(
            load.active + load.remote_active, slots
        )

    def note_call(self, work, slots, elapsed):
        """Learn from the time that a plain call took."""
        service_time = elapsed / _compute_queue_factor(work.running, slots)
        with self._lock:
            load = self._by_id.get(work.instance_id)
            if load is None:
                return
            self.call_time += _CALL_TIME_EWMA_ALPHA * (service_time - self.call_time)
            mean = self.call_time if load.call_time is None else load.call_time
            load.call_time = mean + _CALL_TIME_EWMA_ALPHA * (service_time - mean)

    def start(self, instance_id, tokens, now):
        """Note a request sent; return its `Work`."""
        with self._lock:
            load = self.get(instance_id, now)
            if load.active == 0:
                load.last_activity = now
            ahead = load.unread + load.remote_unread
            running = load.active + load.remote_active
            load.unread += tokens
            load.active += 1
            self.version += 1
            if load.ejected_until and now >= load.ejected_until:
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
        load.last_activity = now
        if work.is_prompt_read:
            return
        work.first = now - work.sent
        with self._lock:
            self._mark_prompt_read(work, load)
            self._update_rate(work, load, work.first)

    def finish(self, work, now):
        """Note the end of a request, whatever it was."""
        with self._lock:
            load = self._by_id.get(work.instance_id)
            if load is None:
                # The instance is gone.
                return
            load.active = max(0, load.active - 1)
            self.version += 1
            if not work.is_prompt_read:
                self._mark_prompt_read(work, load)

    def note_success(self, instance_id, now):
        """Note a whole answer; return whether it ended an ejection."""
        load = self.get(instance_id, now)
        ended = load.ejected_until > 0.0
        load.errors = 0
        load.ejected_until = 0.0
        load.probing = False
        if ended:
            load.next_ejection = INITIAL_EJECTION_S
        return ended

    def note_error(self, instance_id, now, severe=False):
        """Note a failure; return the pause in seconds if it ejects, or None."""
        load = self.get(instance_id, now)
        load.errors += 1
        if load.errors < _EJECTION_ERROR_COUNT and not load.probing and not severe:
            return None
        if now < load.ejected_until:
            return None
        load.ejected_until = now + load.next_ejection
        ejection, load.next_ejection = (
            load.next_ejection,
            min(load.next_ejection * 2, _MAX_EJECTION_S),
        )
        load.probing = False
        return ejection

    def note_replaced(self, instance_id, now):
        """Note that another instance has the address; this one is gone."""
        load = self.get(instance_id, now)
        load.ejected_until = now + _MAX_EJECTION_S
        load.probing = False

    def note_released(self, instance_id, now):
        """Note an end that tells nothing about the instance."""
        self.get(instance_id, now).probing = False

    def pick_usable(self, instances, now):
        """Return the instances that are neither set aside nor silent, if any."""
        usable = [row for row in instances if self.is_usable(row.id, now)]
        responsive = [row for row in usable if not self.is_stalled(row.id, now)]
        return responsive or usable

    def is_usable(self, instance_id, now):
        """Return whether a request may go there."""
        load = self.get(instance_id, now)
        if load.ejected_until:
            return now >= load.ejected_until and not load.probing
        return True

    def is_stalled(self, instance_id, now):
        """Return whether requests run there and nothing has come for long."""
        load = self.get(instance_id, now)
        if load.active == 0:
            return False
        expected = self.base + load.slowness * load.unread / self.rate
        return now - load.last_activity > max(_MIN_STALL_S, 2.0 * expected)

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

    def _mark_prompt_read(self, work, load):
        work.is_prompt_read = True
        self.version += 1
        load.unread = max(0, load.unread - work.tokens)

    def _update_rate(self, work, load, elapsed):
        if work.tokens == 0:
            # A plain call; what it takes says nothing of engines.
            return
        total = work.ahead + work.tokens
        reading = elapsed - self.base
        if total < _MIN_SAMPLE_TOKENS:
            if work.ahead == 0:
                self.base += _BASE_EWMA_ALPHA * (min(elapsed, 1.0) - self.base)
            return
        if reading <= 0:
            return
        rate = min(_MAX_RATE_TOKENS_PER_S, max(_MIN_RATE_TOKENS_PER_S, total / reading))
        self.rate += _RATE_EWMA_ALPHA * (rate - self.rate)
        slowness = self.rate / rate
        load.slowness += 0.1 * (min(8.0, max(0.5, slowness)) - load.slowness)


def _compute_queue_factor(running, slots):
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
