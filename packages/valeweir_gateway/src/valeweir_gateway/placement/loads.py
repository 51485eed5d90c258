"""Load of each instance, from this gateway's requests and the reports of its peers.

An engine reads prompts one after the other between the steps of running requests, so
the wait for the first event follows from the number of prompt tokens that were sent to
it and not read yet. No setting declares the read rate: it is estimated from the
measured times to first events.
"""

import collections
import threading

from ..digests import get_digest
from .instance_loads import INITIAL_EJECTION_S, InstanceLoad, Work

_INITIAL_RATE_TOKENS_PER_S = 30_000.0
_MIN_RATE_TOKENS_PER_S = 2_000.0
_MAX_RATE_TOKENS_PER_S = 400_000.0
_RATE_EWMA_ALPHA = 0.05
_INITIAL_BASE_S = 0.05
_BASE_EWMA_ALPHA = 0.02
_MIN_SAMPLE_TOKENS = 1_500
# Service time of a plain call before the first sample.
_INITIAL_CALL_TIME_S = 0.05
_CALL_TIME_EWMA_ALPHA = 0.1
_CACHE_LIFETIME_S = 60.0
_MAX_PARTS = 20_000
_MAX_READS = 200
_MIN_STALL_S = 1.0
_EJECTION_ERROR_COUNT = 2
_MAX_EJECTION_S = 8.0


class Loads:
    """Load and health of every instance, and which instances read which prompt parts.

    All methods may be called from any thread; ``now`` is on the monotonic clock.
    ``rate`` is the estimated read rate in tokens per second, ``base`` the estimated
    time to the first event without reading and ``call_time`` the mean service time of
    plain calls, in seconds.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._by_id = {}
        self._holders_by_digest = {}
        self._listed_ids = set()
        # Increases whenever the load from this gateway's own requests changes or an
        # instance is ejected.
        self.version = 0
        # Sum of ``waiting_body_bytes`` over all instances.
        self.waiting_body_bytes = 0
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
        """Remove an instance that no longer exists."""
        with self._lock:
            self.version += 1
            load = self._by_id.pop(instance_id, None)
            if load is not None:
                self.waiting_body_bytes -= load.waiting_body_bytes
            self._listed_ids.discard(instance_id)
            for holders in self._holders_by_digest.values():
                holders.pop(instance_id, None)

    def is_cached(self, part_id, instance_id, now):
        """Return whether the instance has probably cached the part."""
        at = self._holders_by_digest.get(get_digest(part_id), {}).get(instance_id)
        return at is not None and now - at < _CACHE_LIFETIME_S

    def count_cached_tokens(self, parts, now):
        """Return {instance id: tokens} of the leading parts that are probably cached.

        A cached part can be reused only if all parts before it are cached, too.
        """
        cached_tokens = {}
        leading = None
        oldest = now - _CACHE_LIFETIME_S
        for part in parts:
            holders = self._holders_by_digest.get(get_digest(part.id))
            if not holders:
                break
            if leading is None:
                items = list(holders.items())
                leading = [instance_id for instance_id, at in items if at > oldest]
            else:
                leading = [
                    instance_id
                    for instance_id in leading
                    if holders.get(instance_id, 0.0) > oldest
                ]
            for instance_id in leading:
                cached_tokens[instance_id] = (
                    cached_tokens.get(instance_id, 0) + part.tokens
                )
        return cached_tokens

    def is_listed(self, instance_id):
        """Return whether the cache of the instance was listed at some time."""
        return instance_id in self._listed_ids

    def record_listed(self, instance_id, digests, now):
        """Record the parts in a list of the instance's cache."""
        for digest in digests:
            self.record_part_digest(digest, instance_id, now)
        self._listed_ids.add(instance_id)

    def get_listed(self, now):
        """Return {instance digest: cached part digests} of all listed instances."""
        oldest = now - _CACHE_LIFETIME_S
        with self._lock:
            listed = {instance_id: [] for instance_id in self._listed_ids}
            for digest, holders in self._holders_by_digest.items():
                for instance_id, at in holders.items():
                    if at > oldest and instance_id in listed:
                        listed[instance_id].append(digest)
        return {get_digest(instance_id): parts for instance_id, parts in listed.items()}

    def record_parts(self, parts, instance_id, now):
        """Record that the instance reads these parts."""
        for part in parts:
            self.record_part_digest(get_digest(part.id), instance_id, now)

    def record_part_digest(self, digest, instance_id, now):
        """Record that the instance reads the part with this digest."""
        with self._lock:
            self._holders_by_digest.setdefault(digest, {})[instance_id] = now
            while len(self._holders_by_digest) > _MAX_PARTS:
                self._holders_by_digest.pop(next(iter(self._holders_by_digest)))

    def estimate_wait(self, load, tokens):
        """Return the seconds until the first event of a request.

        ``tokens`` is the number of its tokens that the instance has to read.
        """
        return self.estimate_alone(load, load.unread + load.remote_unread + tokens)

    def estimate_alone(self, load, tokens):
        """Return the same for an instance with an empty queue."""
        return self.base + load.slowness * tokens / self.rate

    def estimate_backlog(self, instances, now):
        """Return the mean time in seconds to read the queued tokens of an instance."""
        if not instances:
            return 0.0
        loads = [self.get(instance.id, now) for instance in instances]
        unread = sum(load.unread + load.remote_unread for load in loads)
        return unread / len(loads) / self.rate

    def estimate_call(self, load, slots):
        """Return the seconds that a plain call takes at an instance with ``slots``.

        Calls in excess of the slots wait for a free one in order of arrival.
        """
        service_time = self.call_time if load.call_time is None else load.call_time
        return service_time * _compute_queue_factor(
            load.active + load.remote_active, slots
        )

    def record_call_time(self, work, slots, elapsed):
        """Update the mean service times with the duration of a plain call."""
        service_time = elapsed / _compute_queue_factor(work.running, slots)
        with self._lock:
            load = self._by_id.get(work.instance_id)
            if load is None:
                return
            self.call_time += _CALL_TIME_EWMA_ALPHA * (service_time - self.call_time)
            mean = self.call_time if load.call_time is None else load.call_time
            load.call_time = mean + _CALL_TIME_EWMA_ALPHA * (service_time - mean)

    def start(self, instance_id, tokens, now, body_bytes=0):
        """Record that a request is sent; return its `Work`."""
        with self._lock:
            load = self.get(instance_id, now)
            if load.active == 0:
                load.last_activity = now
            ahead = load.unread + load.remote_unread
            running = load.active + load.remote_active
            load.unread += tokens
            load.active += 1
            load.waiting_body_bytes += body_bytes
            self.waiting_body_bytes += body_bytes
            self.version += 1
            if load.ejected_until and now >= load.ejected_until:
                load.probing = True
            return Work(instance_id, tokens, ahead, running, now, body_bytes)

    def release_body(self, work):
        """Record that a request's body no longer waits at the instance."""
        if work.body_bytes:
            with self._lock:
                self._release_body(work, self._by_id.get(work.instance_id))

    def record_response_head(self, instance_id, now):
        """Record that the head of a response has arrived."""
        load = self._by_id.get(instance_id)
        if load is not None:
            load.responded_at = now

    def record_progress(self, work, now):
        """Record that a part of the response has arrived."""
        load = self.get(work.instance_id, now)
        load.last_activity = now
        if work.is_prompt_read:
            return
        work.first_data_s = now - work.sent
        with self._lock:
            self._mark_prompt_read(work, load)
            self._update_rate(work, load, work.first_data_s)

    def finish(self, work, now):
        """Record the end of a request, with or without a response."""
        with self._lock:
            load = self._by_id.get(work.instance_id)
            if load is None:
                # The instance was removed meanwhile.
                return
            self._release_body(work, load)
            load.active = max(0, load.active - 1)
            self.version += 1
            if not work.is_prompt_read:
                self._mark_prompt_read(work, load)

    def record_success(self, instance_id, now):
        """Record a complete response; return whether it ended an ejection."""
        load = self.get(instance_id, now)
        ended = load.ejected_until > 0.0
        load.errors = 0
        load.ejected_until = 0.0
        load.probing = False
        if ended:
            load.next_ejection = INITIAL_EJECTION_S
        return ended

    def record_error(self, instance_id, now, severe=False):
        """Record a failure; return the ejection time in seconds, or None.

        Consecutive failures, a ``severe`` one or one of a probe eject the instance.
        """
        load = self.get(instance_id, now)
        load.errors += 1
        if load.errors < _EJECTION_ERROR_COUNT and not load.probing and not severe:
            return None
        if now < load.ejected_until:
            return None
        return self.eject(instance_id, now)

    def eject(self, instance_id, now):
        """Eject an instance; return the ejection time in seconds.

        Each ejection is twice as long as the one before, until a complete response.
        """
        load = self.get(instance_id, now)
        ejection = load.next_ejection
        load.ejected_until = now + ejection
        load.next_ejection = min(ejection * 2, _MAX_EJECTION_S)
        load.probing = False
        self.version += 1
        return ejection

    def end_ejection(self, instance_id, now):
        """End the ejection of an instance, which may then get a probe request."""
        load = self.get(instance_id, now)
        load.ejected_until = min(load.ejected_until, now)

    def clear_ejection(self, instance_id, now):
        """Make an instance usable without a probe."""
        load = self.get(instance_id, now)
        load.ejected_until = 0.0
        load.probing = False
        load.next_ejection = INITIAL_EJECTION_S

    def mark_replaced(self, instance_id, now):
        """Eject an instance whose address now belongs to another instance."""
        load = self.get(instance_id, now)
        load.ejected_until = now + _MAX_EJECTION_S
        load.probing = False

    def end_probe(self, instance_id, now):
        """Record that a request ended without evidence on the instance's health."""
        self.get(instance_id, now).probing = False

    def pick_usable(self, instances, now):
        """Return the usable instances; stalled ones only if all are stalled."""
        usable = [
            instance for instance in instances if self.is_usable(instance.id, now)
        ]
        responsive = [
            instance for instance in usable if not self.is_stalled(instance.id, now)
        ]
        return responsive or usable

    def is_usable(self, instance_id, now):
        """Return whether the instance is not ejected or may get a probe request."""
        load = self.get(instance_id, now)
        if load.ejected_until:
            return now >= load.ejected_until and not load.probing
        return True

    def is_stalled(self, instance_id, now):
        """Return whether requests run there and no data has arrived for too long."""
        load = self.get(instance_id, now)
        if load.active == 0:
            return False
        expected = self.base + load.slowness * load.unread / self.rate
        return now - load.last_activity > max(_MIN_STALL_S, 2.0 * expected)

    def get_report(self):
        """Return {instance id: (unread, active)} of this gateway's own requests."""
        with self._lock:
            return {
                instance_id: (load.unread, load.active)
                for instance_id, load in self._by_id.items()
                if load.active
            }

    def set_remote(self, totals, now):
        """Set the sums of the loads that the peers report."""
        with self._lock:
            for instance_id, load in self._by_id.items():
                unread, active = totals.get(instance_id, (0, 0))
                load.remote_unread = unread
                load.remote_active = active
            for instance_id in totals.keys() - self._by_id.keys():
                load = self.get(instance_id, now)
                load.remote_unread, load.remote_active = totals[instance_id]

    def _release_body(self, work, load):
        # After the removal of an instance a new one may have started under its id.
        size = min(work.body_bytes, load.waiting_body_bytes if load else 0)
        work.body_bytes = 0
        if size:
            load.waiting_body_bytes -= size
            load.is_body_full = False
            self.waiting_body_bytes -= size

    def _mark_prompt_read(self, work, load):
        work.is_prompt_read = True
        self.version += 1
        load.unread = max(0, load.unread - work.tokens)

    def _update_rate(self, work, load, elapsed):
        if work.tokens == 0:
            # The time of a plain call is no sample of an engine's read rate.
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
    """Return the ratio of a call's time to its service time.

    The call is queued behind ``running`` others.
    """
    return max(1.0, (running + 1) / max(1, slots))


class Reads:
    """Prompt parts that instances read for the first time, to be reported to peers."""

    def __init__(self):
        self._reads = collections.deque(maxlen=_MAX_READS)

    def __len__(self):
        return len(self._reads)

    def add(self, instance_id, parts):
        """Add the parts that an instance reads."""
        for part in parts:
            self._reads.append((get_digest(instance_id), get_digest(part.id)))

    def take(self):
        """Return and remove all reads."""
        reads = []
        while self._reads:
            reads.append(self._reads.popleft())
        return reads
