"""What gateways tell each other: small datagrams of soft state.

Every report holds absolute figures, so one that is lost, doubled or late does
no harm: the next one corrects it. Figures fit one datagram; hints (reads, crashes) go
in one of their own where there is no room, and where figures do not fit, the smallest
are left out.
"""

from enum import StrEnum

import msgspec

from .freshness import Echo

VERSION = 2
MAX_BYTES = 1_400
_KEPT_RATIO = 0.75
# Engines left out look idle and accounts left out look starved, which does more harm;
# so the engines with least to do go first, down to this many.
_MIN_LOADS = 40


class Role(StrEnum):
    """Who tells whom.

    ``UP``: a gateway to its relay, about itself. ``ACROSS``: a relay to
    another, about its group. ``DOWN``: a relay to one of its group, about all
    the others. ``HELLO`` asks for a sign of life and ``ALIVE`` gives it; both
    hold no figures.
    """

    UP = "u"
    ACROSS = "a"
    DOWN = "d"
    HELLO = "h"
    ALIVE = "l"


class Report(msgspec.Struct, array_like=True, frozen=True):
    """State of one gateway, or sums over a group of them.

    ``number`` is the incarnation, greater for a later start; ``seq`` rises
    with every report. ``catalog_version`` and ``directory_offset`` tell how new
    the sender's view is, and ``store_age`` how many seconds before it sent this
    the view was whole, negative for never; see `freshness`. ``gateways`` is how
    many the sums stand for. ``loads`` maps an instance's digest to the prompt
    tokens sent there and not read, and the requests running. ``usage`` maps an
    account's digest to the tokens asked and begun within the window. ``reads``
    lists (instance digest, part digest) of prompt parts that an instance reads for
    the first time.
    ``silent`` names failure domains that the sender's relays hear nothing of.
    ``members`` are rows of host, failure domain, address and capacity. One with
    ``only_hints`` holds no figures and replaces none. ``catalog_offset`` is how far
    the sender has read the configuration topic, which holds evacuations too.
    ``stamp`` is the sender's clock in milliseconds; ``echo`` sends the receiver's own
    newest stamp back to it. ``quarantine_offset`` is how far the sender has read the
    quarantine topic. ``crashes`` lists (request's fingerprint, instance digest,
    milliseconds since it was sent there, since the instance ended), and ``cleared``
    the fingerprints of suspect requests that were answered whole. ``leaving`` holds
    digests of instances that said that they leave while their records say ready.
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

    @property
    def view_offsets(self):
        """Return how far the sender has read configuration, instances, quarantines."""
        return (self.catalog_offset, self.directory_offset, self.quarantine_offset)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Report)


def encode_report(report):
    """Return the datagrams of a report: one, or hints and then figures."""
    replace = msgspec.structs.replace
    data = _encoder.encode(report)
    if len(data) > MAX_BYTES and report.members:
        report = replace(report, members=[])
        data = _encoder.encode(report)
    if len(data) <= MAX_BYTES:
        return [data]
    figures = _encode_figures(replace(report, reads=[], crashes=[], cleared=[]))
    if not (report.reads or report.crashes or report.cleared):
        return [figures]
    hints = replace(report, loads={}, usage={}, only_hints=True)
    return [_encoder.encode(hints), figures]


def _encode_figures(report):
    """Return the bytes of a report, without the smallest figures if need be."""
    data = _encoder.encode(report)
    while len(data) > MAX_BYTES:
        if len(report.loads) > _MIN_LOADS:
            loads = _drop_smallest(report.loads)
            report = msgspec.structs.replace(report, loads=loads)
        else:
            usage = _drop_smallest(report.usage)
            report = msgspec.structs.replace(report, usage=usage)
        data = _encoder.encode(report)
    return data


def decode_report(data):
    """Return the `Report` in a datagram, or None where it is none of ours."""
    try:
        report = _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    return report if report.version == VERSION else None


def _drop_smallest(rows):
    kept = sorted(rows.items(), key=lambda item: item[1], reverse=True)
    return dict(kept[: int(len(kept) * _KEPT_RATIO)])
