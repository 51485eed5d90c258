"""Configures the structured log: one line for each decision or state change."""

import sys

import msgspec
from loguru import logger


def _format_json(record):
    entry = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        entry["error"] = repr(record["exception"].value)
    return msgspec.json.encode(entry, enc_hook=str) + b"\n"


def _write_json(message):
    sys.stderr.buffer.write(_format_json(message.record))
    sys.stderr.buffer.flush()


def configure_logging(form="json", level="INFO"):
    """Write log lines to standard error as ``json`` or ``text``."""
    logger.remove()
    if form == "json":
        logger.add(_write_json, level=level)
        return
    line = "{time:HH:mm:ss.SSS} {level: <7} {message} {extra}"
    logger.add(sys.stderr, level=level, format=line)
