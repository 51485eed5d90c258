"""What gateways tell each other: small datagrams of soft state.

Every report holds absolute figures, so one that is lost, doubled or late does
no harm: the next one corrects it. A report fits one datagram; figures of
accounts that do not fit go with the next.
"""

import msgspec
import xxhash

VERSION = 1
MAX_BYTES = 1_300


class Report(msgspec.Struct, array_like=True, frozen=True):
    """State of one gateway.

    ``number`` is the incarnation, greater for a later start; ``seq`` rises
    with every report. ``catalog_version`` and ``directory_offset`` tell how new
    its view is. ``loads`` maps an instance's digest to the prompt
    tokens sent there and not read, and the requests running. ``usage`` maps
    an account's digest to the tokens asked and begun since the start.
    ``reads`` lists (instance digest, part digest) of prompt parts that an
    instance reads for the first time. ``members`` are addresses of gateways heard from.
    """

    version: int
    host: str
    domain: str
    number: int
    seq: int
    catalog_version: int
    directory_offset: int
    stopping: bool
    loads: dict[int, tuple[int, int]]
    usage: dict[int, tuple[int, int]]
    reads: list[tuple[int, int]]
    members: list[str]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Report)


def get_digest(name):
    """Return a 32-bit digest that stands for a name on the wire."""
    return xxhash.xxh32_intdigest(name.encode())


def encode_report(report):
    """Return the bytes of a report."""
    return _encoder.encode(report)


def decode_report(data):
    """Return the `Report` in a datagram, or None where it is none of ours."""
    try:
        report = _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    return report if report.version == VERSION else None
