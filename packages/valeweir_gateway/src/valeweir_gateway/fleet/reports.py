"""The reports between gateways: small datagrams of soft state.

Every report holds absolute figures, so the next one corrects a report that is lost,
duplicated or late. The figures fit one datagram; hints (reads, crashes) are sent in a
separate one if there is no room, and if the figures do not fit, the smallest are left
out.
"""

from enum import StrEnum

import msgspec

from ..stores import Position
from .freshness import Echo

VERSION = 2
MAX_BYTES = 1_400
_KEPT_RATIO = 0.75
# An instance that is left out looks idle; an account that is left out looks starved,
# which is worse. The least loaded instances are therefore left out first, down to this
# number. Failures follow, since each gateway also detects them itself.
_MIN_LOADS = 40
# Fields that are sent in a datagram of their own if the figures leave no room.
_HINTS = ("reads", "crashes", "cleared", "streams", "part_crashes", "part_answers")


class Role(StrEnum):
    """The direction of a report.

    ``UP``: a gateway to its relay, about itself. ``ACROSS``: a relay to another relay,
    about its group. ``DOWN``: a relay to a gateway of its group, about all the others.
    ``HELLO`` requests an ``ALIVE`` report; both hold no figures.
    """

    UP = "u"
    ACROSS = "a"
    DOWN = "d"
    HELLO = "h"
    ALIVE = "l"


class Report(msgspec.Struct, array_like=True, frozen=True):
    """The state of one gateway, or totals over a group of gateways.

    ``number`` is the incarnation number, greater for a later start; ``seq`` increases
    with every report. ``catalog_version`` and ``directory_offset`` show how new the
    sender's view is, and ``store_age`` how many seconds before the report was sent the
    view was complete, negative for never; see `freshness`. ``gateways`` is the number
    of gateways in the totals. ``loads`` maps an instance's digest to the prompt tokens
    sent to it but not yet read, and its running requests. ``usage`` maps an account's
    digest to the tokens requested and started within the window. ``reads`` lists
    (instance digest, part digest) of prompt parts that an instance reads for the first
    time. ``silent`` names the failure domains from which the sender's relays receive no
    reports. ``members`` are rows of host, failure domain, address and capacity. A
    report with ``only_hints`` holds no figures and replaces none. ``catalog_offset`` is
    the sender's offset in the configuration topic, which also holds evacuations.
    ``stamp`` is the sender's clock in milliseconds; ``echo`` returns the receiver's own
    newest stamp. ``quarantine_offset`` is the sender's offset in the quarantine topic.
    ``crashes`` lists (request's fingerprint, instance digest, milliseconds since the
    request was sent to the instance, milliseconds since the instance exited), and
    ``cleared`` the fingerprints of suspect requests that received a complete response.
    ``leaving`` holds digests of instances that have announced that they are leaving
    while their records are still marked ready. ``failures`` maps an instance's digest
    to the number of gateways that ejected it because a connection was refused, and the
    number of gateways that have had a response from it since. ``eras`` are the eras of
    the store in which the offsets of configuration, instances and quarantine count.
    ``streams`` lists (stream's key, digest of its service, digest of its version), and
    ``wanted`` the keys of streams whose origins the sender requests. ``part_crashes``
    lists the same as ``crashes`` for a part of prompts, followed by the digests of the
    instance's software version and of the request, and whether the part was answered
    before; ``part_answers`` lists (part's fingerprint, digest of the version that
    answered it, milliseconds since its response began).
    """

    version: int
    host: str
    domain: str
    number: int
    seq: int
    role: Role
    catalog_version: int = 0
    directory_offset: int = 0
    store_age: float = -1.0
    stopping: bool = False
    gateways: int = 1
    loads: dict[int, tuple[int, int]] = {}
    usage: dict[int, tuple[int, int]] = {}
    reads: list[tuple[int, int]] = []
    silent: list[str] = []
    members: list[tuple[str, str, str, float]] = []
    capacity: float = 1.0
    only_hints: bool = False
    catalog_offset: int = 0
    stamp: int = -1
    echo: Echo = Echo()
    quarantine_offset: int = 0
    crashes: list[tuple[int, int, int, int]] = []
    cleared: list[int] = []
    leaving: list[int] = []
    failures: dict[int, tuple[int, int]] = {}
    eras: tuple[int, int, int] = (0, 0, 0)
    streams: list[tuple[int, int, int]] = []
    wanted: list[int] = []
    part_crashes: list[tuple[int, int, int, int, int, int, bool]] = []
    part_answers: list[tuple[int, int, int]] = []

    @property
    def view_offsets(self):
        """Return the sender's offsets: configuration, instances and quarantine."""
        return (self.catalog_offset, self.directory_offset, self.quarantine_offset)

    @property
    def view_positions(self):
        """Return the `Position` of the sender's view of each of these topics."""
        return tuple(map(Position, self.eras, self.view_offsets))


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Report)


def encode_report(report):
    """Return the datagrams of a report: one, or the hints followed by the figures."""
    replace = msgspec.structs.replace
    data = _encoder.encode(report)
    if len(data) > MAX_BYTES and report.members:
        report = replace(report, members=[])
        data = _encoder.encode(report)
    if len(data) <= MAX_BYTES:
        return [data]
    figures = _encode_figures(replace(report, **{name: [] for name in _HINTS}))
    if not any(getattr(report, name) for name in _HINTS):
        return [figures]
    hints = replace(report, loads={}, usage={}, failures={}, only_hints=True)
    return [_encoder.encode(hints), figures]


def _encode_figures(report):
    """Return the bytes of a report, leaving out the smallest figures if necessary."""
    data = _encoder.encode(report)
    while len(data) > MAX_BYTES:
        if len(report.loads) > _MIN_LOADS:
            loads = _drop_smallest(report.loads)
            report = msgspec.structs.replace(report, loads=loads)
        elif report.failures:
            failures = _drop_smallest(report.failures)
            report = msgspec.structs.replace(report, failures=failures)
        else:
            usage = _drop_smallest(report.usage)
            report = msgspec.structs.replace(report, usage=usage)
        data = _encoder.encode(report)
    return data


def decode_report(data):
    """Return the `Report` in a datagram, or None if it is malformed or incompatible."""
    try:
        report = _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    return report if report.version == VERSION else None


def _drop_smallest(rows):
    descending = sorted(rows.items(), key=lambda item: item[1], reverse=True)
    return dict(descending[: int(len(descending) * _KEPT_RATIO)])
