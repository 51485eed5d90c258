"""Follower of the log, which reads its records and appends changes.

Only the follower folds records into the configuration. An append therefore waits
until the follower has read the record with its change ID.
"""

import threading
import time

import msgspec
from loguru import logger
from valeweir.configuration import Verdict, decode_record
from valeweir.exceptions import AppendOutcomeUnknown, PlatformUnavailable


class PendingVerdict(threading.Event):
    """Event that is set when the verdict on an appended change is known."""

    verdict: Verdict | None = None


class LogFollower:
    """Folds the log into a configuration.

    Parameters
    ----------
    log : valeweir_platform.adapters.LogClient
    configuration : valeweir.configuration.Configuration
    lock : threading.RLock
        Guards the configuration.
    on_change : callable
        Called with the lock held after the configuration has changed.
    on_caught_up : callable
        Called with the lock held when the end of the log has been reached.

    Attributes
    ----------
    gap : bool
        Whether records expired before they were read, and no snapshot or view
        from a peer has replaced them yet.
    """

    def __init__(self, log, configuration, lock, on_change, on_caught_up):
        self._log = log
        self._configuration = configuration
        self._lock = lock
        self._on_change = on_change
        self._on_caught_up = on_caught_up
        self._pending = {}
        self.available = False
        self.gap = False
        self.snapshot_offset = 0
        self._scan_offset = 0
        self._caught_up = False

    def run(self, poll_interval_s, stopped):
        """Follow the log until ``stopped`` is set; the target of a thread."""
        while not stopped.is_set():
            try:
                has_more = self.follow_once()
            except Exception:
                # The last valid configuration stays in force.
                logger.exception("following the log failed")
                has_more = False
            if not has_more:
                stopped.wait(poll_interval_s)

    def follow_once(self):
        """Read and fold one batch; return whether there may be more."""
        start = max(self._configuration.offset, self._scan_offset)
        try:
            batch = self._log.read(start)
        except (PlatformUnavailable, msgspec.MsgspecError) as exc:
            self._set_available(False, str(exc))
            return False
        self._set_available(True, "")
        with self._lock:
            if batch.first > self._configuration.offset:
                return self._scan_for_snapshot(batch)
            self.gap = False
            self._scan_offset = 0
            self._fold(batch)
            reached = self._configuration.offset >= batch.next
            if reached:
                self._caught_up = True
                self._on_caught_up()
        return not reached

    def submit(self, change, timeout):
        """Append a change and wait for its verdict.

        Returns
        -------
        Verdict or None
            None if the append may have taken effect but was not read in time;
            the verdict is found later by the change ID.

        Raises
        ------
        PlatformUnavailable
            The change was certainly not appended to the log.
        """
        pending = PendingVerdict()
        with self._lock:
            known_verdict = self._configuration.verdicts.get(change.id)
            if known_verdict is not None:
                return known_verdict
            self._pending[change.id] = pending
        try:
            self._log.append({"change": msgspec.to_builtins(change)})
        except AppendOutcomeUnknown:
            pass
        except PlatformUnavailable:
            with self._lock:
                self._pending.pop(change.id, None)
            raise
        deadline = time.monotonic() + timeout
        while not pending.is_set() and time.monotonic() < deadline:
            self.follow_once()
            pending.wait(0.05)
        with self._lock:
            self._pending.pop(change.id, None)
        return pending.verdict

    def _fold(self, batch):
        before = self._configuration.offset
        for record in batch.records:
            if record.offset < self._configuration.offset:
                continue
            kind, value = decode_record(record.body)
            if kind == "snapshot":
                self.snapshot_offset = record.offset
            verdict = self._configuration.apply_change(
                record.offset, value if kind == "change" else None
            )
            if kind == "change":
                self._complete_change(value, verdict)
        if self._configuration.offset != before:
            self._on_change()

    def _scan_for_snapshot(self, batch):
        """Search for a snapshot after records have expired unread.

        Folding only the remaining records would produce a configuration that no
        other router has.
        """
        if not self.gap:
            offset = self._configuration.offset
            logger.bind(offset=offset, first=batch.first).warning("log expired")
        self.gap = True
        for record in batch.records:
            self._scan_offset = record.offset + 1
            kind, view = decode_record(record.body)
            if kind != "snapshot" or view.offset < batch.first:
                continue
            if self._configuration.adopt(view):
                logger.bind(offset=view.offset).info("snapshot adopted")
                self._scan_offset = 0
                self._on_change()
                return True
        return self._scan_offset < batch.next

    def write_snapshot(self):
        """Append a snapshot of the configuration, so that older records may expire."""
        with self._lock:
            view = msgspec.to_builtins(self._configuration.get_view())
        try:
            self._log.append({"snapshot": view})
        except PlatformUnavailable as exc:
            logger.bind(why=str(exc)).warning("snapshot not written")

    def count_records_since_snapshot(self):
        """Return the number of records folded since the last snapshot."""
        return self._configuration.offset - self.snapshot_offset

    def _complete_change(self, change, verdict):
        # Records from before the start of this daemon do not change its state.
        level = "INFO" if self._caught_up else "DEBUG"
        logger.bind(
            kind=change.kind,
            resource=change.name,
            accepted=verdict.accepted,
            why=verdict.why,
            version=verdict.version,
            author=change.author,
        ).log(level, "change folded")
        pending = self._pending.get(change.id)
        if pending is not None:
            pending.verdict = verdict
            pending.set()

    def _set_available(self, available, reason):
        if available != self.available:
            logger.bind(available=available, why=reason).warning("log service")
        self.available = available
