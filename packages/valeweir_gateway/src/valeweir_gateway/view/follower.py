"""Continuous reading of a topic of the platform's store."""

import math
import threading
from typing import NamedTuple

from valeweir.exceptions import PlatformUnavailable

from ..stores import HistoryExpired, StoreTimeout
from ..view_source import STORE, ViewUpdate
from .topics import TopicRecords, restore_highest_ranked

_FIRST_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 1.0
_IDLE_CHECK_S = 0.15
_BATCHING_DELAY_S = 0.2
# Number of records before the newest one of a ranked key that are searched for a higher
# one. Far fewer are written while a writer waits for a lost answer.
_MAX_HISTORY_RECORDS = 32
_MAX_LOGGED_KEY_CHARS = 120
# An answer that is later than this, beyond the requested wait, means that the store was
# unavailable: the store usually answers within some milliseconds, a hundredth of this.
_LATE_ANSWER_S = 0.5
# Time limits of the attempts to read on a new connection. The first one is the answer
# time of a slow store; if the call hangs, the second attempt is still in time.
_REFRESH_TIMEOUTS_S = (0.3, 1.0)
# An answer is overdue after this time beyond the requested wait, which is the answer
# time of a slow store.
_OVERDUE_S = 0.3
# Time after a restore of the store in which writers write again what it has lost. The
# records of upstreams that run are back within 2 s; operators may take longer.
_SETTLE_S = 10.0


class StoreCall(NamedTuple):
    """A call of the store.

    ``started_at`` is the time of its start, ``wait`` the time in seconds for which the
    store may delay the answer, and ``pause_total`` the total time in seconds for which
    this process had been paused before the start.
    """

    started_at: float
    wait: float
    pause_total: float


class TopicFollower:
    """Follows a keyed topic: lists it once, then waits for new records.

    Parameters
    ----------
    apply : callable
        Called with each `Entry` that is newer than the known one of its key.
    on_merged : callable
        Called with the `stores.Position` of the end after each merged listing or batch.
    poll : callable
        Returns for how many seconds a call waits for a record.
    is_wanted : callable
        Returns whether to read now; a gateway that gets its view from a peer does not
        read the store.
    on_complete : callable
        Called with the topic and the time as of which the view of it is complete,
        after an answer of the store has been applied.
    on_recovered : callable
        Called with the current time when the store answers after an outage or after it
        was restored from a copy, before the answer is applied.
    get_pause_total : callable
        Returns the total time in seconds for which this process has been paused.
    wait_until_wanted : callable
        Called with ``stopped`` while reading is not wanted; returns after a bounded
        time.
    is_done : callable
        Returns whether the topic no longer has to be read.
    on_update : callable
        Called with the topic and the `view_source.ViewUpdate` of each listing or batch.
    rank, keeps, withholds : callable
        As for `topics.TopicRecords`.
    on_restored : callable
        Called after the store was restored from a copy, with the entries that it lacks
        and are kept, and with those that it has again and are withheld.
    """

    def __init__(
        self,
        store,
        topic,
        apply,
        on_merged,
        log,
        poll,
        clock,
        is_wanted=lambda: True,
        on_complete=lambda topic, as_of: None,
        on_recovered=lambda now: None,
        on_update=lambda topic, update: None,
        get_pause_total=lambda: 0.0,
        wait_until_wanted=lambda stopped: stopped.wait(_IDLE_CHECK_S),
        is_done=lambda: False,
        rank=lambda entry: None,
        keeps=lambda entry: False,
        withholds=lambda entry, known: False,
        on_restored=lambda unconfirmed, withheld: None,
    ):
        self._store = store
        self._topic = topic
        self._rank = rank
        self._records = TopicRecords(apply, self._log_unapplied, rank, keeps, withholds)
        # When what a restored store lacks or has again is taken over.
        self._settle_at = math.inf
        self._on_restored = on_restored
        self._on_merged = on_merged
        self._log = log
        self._poll = poll
        self._clock = clock
        self._is_wanted = is_wanted
        self._needs_listing = True
        # The position at which the follower's own thread was refused to read.
        self._refused = None
        self._lock = threading.RLock()
        self._retry_delay = _FIRST_RETRY_DELAY_S
        self._is_available = None
        # The current or last call of the follower's own thread.
        self._call = None
        self._is_call_active = False
        self._was_unavailable = False
        # Total time of pauses of this process at the last update of the view.
        self._updated_pause_total = 0.0
        # Number of consecutive calls that timed out.
        self._timeout_count = 0
        self._answered_at = None
        self._complete_at = None
        self._on_complete = on_complete
        self._on_recovered = on_recovered
        self._on_update = on_update
        self._get_pause_total = get_pause_total
        self._wait_until_wanted = wait_until_wanted
        self._is_done = is_done

    def run(self, stopped):
        """Follow until ``stopped`` is set or `is_done` returns true; a thread body."""
        while not stopped.is_set() and not self._is_done():
            if not self._is_wanted():
                self._wait_until_wanted(stopped)
                continue
            previous_end = self.end
            if not self.follow_once():
                stopped.wait(self._retry_delay)
                self._retry_delay = min(self._retry_delay * 2, _MAX_RETRY_DELAY_S)
            elif self.end != previous_end:
                # Changes come in series, so a short delay collects several per call.
                stopped.wait(_BATCHING_DELAY_S)

    def start(self, stopped):
        """Follow in a separate thread."""
        threading.Thread(
            target=self.run, args=(stopped,), name=f"follow-{self._topic}", daemon=True
        ).start()

    def follow_once(self):
        """Make one call; return whether it succeeded."""
        try:
            if self._needs_listing:
                self._list()
            else:
                self._read()
        except HistoryExpired as exc:
            self._log.note(
                "history expired",
                topic=self._topic,
                offset=self._refused.offset,
                first=exc.first,
                era=exc.era,
            )
        except StoreTimeout as exc:
            self._record_timeout(str(exc))
            return False
        except PlatformUnavailable as exc:
            self._mark_unavailable(self._call, str(exc))
            return False
        except Exception as exc:
            # An unexpected record must not end the following of the topic.
            self._log.note(
                "following failed", failed=True, topic=self._topic, why=repr(exc)
            )
            return False
        finally:
            self._is_call_active = False
        self._retry_delay = _FIRST_RETRY_DELAY_S
        self._timeout_count = 0
        self._set_available(True, "")
        return True

    def refresh(self):
        """Read new records on a new connection; return whether the store answered.

        This may be called while the follower's own call waits, because that call cannot
        distinguish a store without new records from a dead connection.
        """
        for timeout in _REFRESH_TIMEOUTS_S:
            call = self._create_call(0.0)
            try:
                self._read_on_new_connection(call, timeout)
            except StoreTimeout as exc:
                self._log_timeout(call)
                failure = exc
            except PlatformUnavailable as exc:
                failure = exc
                break
            else:
                self._set_available(True, "")
                return True
        self._mark_unavailable(call, str(failure))
        return False

    def mark_outage(self):
        """Mark the store as unavailable after a failed call for another topic."""
        self._was_unavailable = True

    def is_waiting(self, now, seconds):
        """Return whether the follower's own call has lasted longer than ``seconds``."""
        return self._is_call_active and now - self._call.started_at > seconds

    def is_overdue(self, now):
        """Return whether the answer to the follower's own call is overdue."""
        return (
            self._is_call_active
            and now - self._call.started_at > self._call.wait + _OVERDUE_S
        )

    @property
    def unapplied(self):
        """Return the number of records that could not be applied yet."""
        return len(self._records.get_unapplied())

    def retry_unapplied(self):
        """Retry the records that could not be applied."""
        with self._lock:
            self._records.retry_unapplied(self._records.get_unapplied())

    def settle(self, now):
        """Take over what a restored store lacks or has again, if it is due."""
        if now < self._settle_at:
            return
        with self._lock:
            self._settle_at = math.inf
            self._records.settle()

    @property
    def is_unavailable(self):
        """Return whether the last call of the store failed."""
        return self._is_available is False

    @property
    def topic(self):
        """Return the name of the topic."""
        return self._topic

    def get_age(self, now):
        """Return the seconds since the topic was complete by an answer, or None."""
        return None if self._complete_at is None else max(0.0, now - self._complete_at)

    @property
    def end(self):
        """Return the offset up to which all records of the topic are known."""
        return self._records.end

    @property
    def position(self):
        """Return the `stores.Position` up to which all records are known."""
        with self._lock:
            return self._records.position

    def get_listing(self):
        """Return all known records as a `Listing` for a peer."""
        with self._lock:
            return self._records.get_listing()

    def get_batch(self, offset, era=0):
        """Return a `Batch` of the changes from ``offset`` on, None if unknown."""
        with self._lock:
            return self._records.get_batch(offset, era)

    def adopt(self, listing, source="peer"):
        """Merge a listing of a peer; records older than the known ones are ignored.

        Return whether it is of the current era of the store.
        """
        return self._merge(self._records.merge_listing, listing, source, True)

    def adopt_batch(self, batch, source="peer"):
        """Merge changes since our end offset that a peer has sent.

        Return whether they are of the current era of the store.
        """
        return self._merge(self._records.merge_batch, batch, source, False)

    def _list(self):
        call = self._begin_call(0.0)
        listing = self._get_listing()
        self._record_answer(call, listing.era)
        self._merge_listing(listing, self._refused)
        self._needs_listing = False
        self._refused = None
        self._mark_complete(call.started_at)

    def _read(self):
        # Records that a peer has sent meanwhile are not read again.
        start = self.position
        call = self._begin_call(self._poll())
        try:
            batch = self._store.read(self._topic, start.offset, call.wait)
        except HistoryExpired as exc:
            self._record_answer(call, exc.era)
            self._needs_listing = True
            self._refused = start
            raise
        self._record_answer(call, batch.era)
        if _is_of_another_era(batch, start):
            self._needs_listing = True
            return
        self._merge_batch(batch, start)
        # An answer without records is sent only after the requested wait.
        waited = 0.0 if batch.entries else call.wait
        if batch.is_whole:
            self._mark_complete(min(call.started_at + waited, self._clock()))

    def _read_on_new_connection(self, call, timeout):
        start = self.position
        try:
            batch = self._store.read(
                self._topic, start.offset, call.wait, anew=True, timeout=timeout
            )
        except HistoryExpired:
            batch = None
        if batch is None or _is_of_another_era(batch, start):
            listing = self._get_listing(anew=True)
            self._record_answer(call, listing.era)
            self._merge_listing(listing, start)
        else:
            self._record_answer(call, batch.era)
            self._merge_batch(batch, start)
            if not batch.is_whole:
                return
        self._mark_complete(call.started_at)

    def _merge_listing(self, listing, refused):
        """Merge a listing of the store.

        Parameters
        ----------
        refused : Position or None
            Where the store refused to read before this listing.

        Raises
        ------
        PlatformUnavailable
            If the store has been restored since the listing, or ends before the refused
            position without a new era. The view is not complete then.
        """
        if not listing.era:
            listing = listing._replace(era=self._records.era)
        if not self._merge(self._records.merge_listing, listing, STORE, True):
            raise PlatformUnavailable(f"a late answer of era {listing.era}")
        if refused is not None and listing.end < refused.offset:
            if listing.era == refused.era:
                raise PlatformUnavailable(
                    f"{self._topic} ends at {listing.end}, before {refused.offset}"
                )

    def _merge_batch(self, batch, start):
        """Merge a batch of the store, read from the `Position` ``start``.

        Raises
        ------
        PlatformUnavailable
            If the store has been restored since the batch.
        """
        if not batch.era:
            batch = batch._replace(era=start.era)
        if not self._merge(self._records.merge_batch, batch, STORE, False):
            raise PlatformUnavailable(f"a late answer of era {batch.era}")

    def _get_listing(self, anew=False):
        """List the topic, with the highest record of its history for ranked keys."""
        listing = self._store.list_newest(self._topic, anew)
        ranked = [row for row in listing.entries if self._rank(row) is not None]
        history = []
        for entry in ranked:
            history += self._read_history(entry.offset, anew)
        return restore_highest_ranked(listing, history, self._rank)

    def _read_history(self, end, anew):
        """Return the last records before an offset that the store still has."""
        entries = []
        start = max(0, end - _MAX_HISTORY_RECORDS)
        while start < end:
            try:
                batch = self._store.read(self._topic, start, 0.0, anew)
            except HistoryExpired as exc:
                if exc.first is None or exc.first <= start:
                    break
                start = exc.first
                continue
            entries += batch.entries
            if batch.end <= start:
                break
            start = batch.end
        return entries

    def _begin_call(self, wait):
        self._call = self._create_call(wait)
        self._is_call_active = True
        return self._call

    def _create_call(self, wait):
        return StoreCall(self._clock(), wait, self._get_pause_total())

    def _mark_complete(self, as_of):
        self._answered_at = self._clock()
        if self.unapplied:
            return
        self._complete_at = as_of
        self._on_complete(self._topic, as_of)

    def _log_unapplied(self, entry, exc):
        self._log.note(
            "record not applied",
            failed=True,
            topic=self._topic,
            key=entry.key[:_MAX_LOGGED_KEY_CHARS],
            offset=entry.offset,
            why=repr(exc),
        )

    def _record_timeout(self, why):
        """Log a call of the follower's own thread that timed out.

        A single timeout may be a lost connection and does not count as an outage. An
        outage shows at the next call, which has a new connection, or at a refresh of
        the aging view. Counting the timeout as an outage would keep upstreams that have
        left in use for two more seconds.
        """
        self._log_timeout(self._call)
        self._timeout_count += 1
        if self._timeout_count > 1:
            self._mark_unavailable(self._call, why)

    def _log_timeout(self, call):
        now = self._clock()
        age = self.get_age(now)
        self._log.note(
            "store call unanswered",
            failed=True,
            topic=self._topic,
            waited_s=round(now - call.started_at, 3),
            allowed_s=round(call.wait, 3),
            topic_age_s=None if age is None else round(age, 3),
        )

    def _mark_unavailable(self, call, why):
        """Mark the store as unavailable, unless this process was paused meanwhile."""
        if self._get_pause_total() - call.pause_total <= _LATE_ANSWER_S:
            self._was_unavailable = True
        self._set_available(False, why)

    def _record_answer(self, call, era):
        """Log a late answer, and report a recovery if it ends an outage.

        Records that the store has lost in a restore may be written again, as those that
        expired in an outage. If this process was paused since its last update, the
        restore may be long ago, and missing upstreams have left.
        """
        now = self._clock()
        paused = self._get_pause_total() - call.pause_total
        late = now - call.started_at - call.wait
        if late > _LATE_ANSWER_S:
            self._log.note(
                "store answered late",
                topic=self._topic,
                late_s=round(late, 3),
                stalled_s=round(paused, 3),
            )
        # A late answer is no outage if this process was paused before reading it. An
        # upstream whose record was removed meanwhile has left, and would otherwise get
        # requests for two more seconds.
        paused_since = self._get_pause_total() - self._updated_pause_total
        is_restored = 0 < self._records.era < era and paused_since <= _LATE_ANSWER_S
        if self._was_unavailable or is_restored or late - paused > _LATE_ANSWER_S:
            self._on_recovered(now)
        self._was_unavailable = False

    def _merge(self, merge, update, source, is_listing):
        """Merge an update; return the result of ``merge``, a `TopicRecords` method."""
        with self._lock:
            begin = self.position
            unapplied = self._records.get_unapplied()
            merged = merge(update)
            self._records.retry_unapplied(unapplied)
            at = self._clock()
            if 0 < begin.era < self.position.era:
                self._settle_at = at + _SETTLE_S
                self._handle_restore(begin, source)
            self._updated_pause_total = self._get_pause_total()
            view_update = ViewUpdate(begin, self.position, source, is_listing, at)
            self._on_update(self._topic, view_update)
            self._on_merged(self.position)
        return merged

    def _handle_restore(self, previous, source):
        unconfirmed = self._records.get_unconfirmed()
        withheld = self._records.get_withheld()
        self._log.note(
            "store restored",
            topic=self._topic,
            era=self.position.era,
            previous_era=previous.era,
            offset=previous.offset,
            store_end=self.end,
            source=source,
            unconfirmed=len(unconfirmed),
            withheld=len(withheld),
        )
        self._on_restored(unconfirmed, withheld)

    def _set_available(self, is_available, why):
        if is_available == self._is_available:
            return
        self._is_available = is_available
        event = "store regained" if is_available else "store lost"
        age = (
            None
            if self._answered_at is None
            else round(self._clock() - self._answered_at, 3)
        )
        self._log.note(
            event, failed=not is_available, topic=self._topic, why=why, view_age_s=age
        )


def _is_of_another_era(batch, start):
    """Return whether the offset of the `Position` ``start`` means nothing in a batch.

    The restored store may have new records up to that offset, and then answers as if
    nothing had happened.
    """
    return batch.era not in (0, start.era)
