"""``valeweir explain``: shows the log lines of a request, or all lost requests."""

import sys
from pathlib import Path

import click
import msgspec

from .causes import find_causes
from .loglines import read_logs
from .losses import GROUPS, count_by_time, find_losses, tabulate

_BAD_INPUT_STATUS = 2
# Events that explain why a request is no longer sent. They are matched by fingerprint,
# as they may belong to another attempt of the same request.
_FINGERPRINT_EVENTS = frozenset(
    (
        "upstream ended under request",
        "upstream ended under part",
        "version sound",
        "request quarantined",
        "trial sent",
        "request released",
    )
)
_HIDDEN_FIELDS = ("t", "time", "event", "host", "id", "left_out")


@click.command()
@click.argument("logs", nargs=-1, required=True)
@click.option(
    "--most", default=12, show_default=True, help="Maximum rows of each table."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--plot",
    "plot_path",
    type=click.Path(dir_okay=False),
    help="Write a plot of losses over time by reason to this file.",
)
def explain(logs, most, as_json, plot_path):
    """Show which requests were lost or late in LOGS, or trace one request.

    LOGS are log files of gateways; "-" is standard input. If the last argument
    is not a file, it is the id of a request. The exit status is 2 if a file
    cannot be read or the id is not in the logs.
    """
    paths, request_id = _split_arguments(logs)
    try:
        reading = read_logs(paths)
    except OSError as exc:
        _exit_with_error(f"{exc.filename}: {exc.strerror}")
    if request_id is not None:
        _print_request(reading, request_id, as_json)
        return
    losses = find_losses(reading.lines)
    if plot_path:
        from .plots import draw_losses

        draw_losses(*count_by_time(losses), plot_path)
    if as_json:
        _print_json(reading, losses)
    else:
        _print_tables(reading, losses, most)


def _split_arguments(logs):
    """Return the files and the request id, which is None if all arguments are files."""
    last = logs[-1]
    if len(logs) == 1 or last == "-" or Path(last).exists():
        return logs, None
    return logs[:-1], last


def _exit_with_error(text):
    click.echo(f"valeweir explain: {text}", err=True)
    sys.exit(_BAD_INPUT_STATUS)


def _print_request(reading, request_id, as_json):
    lines = _find_request_lines(reading.lines, request_id)
    if not lines:
        _exit_with_error(
            f"{request_id}: neither a file nor the id of a request in the logs"
        )
    causes = find_causes(reading.lines, request_id)
    if as_json:
        rows = [{"at": line.timestamp, **line.fields} for line in lines]
        rows += [
            {"at": line.timestamp, **line.fields, "cause": text}
            for line, text in causes
        ]
        rows.sort(key=lambda row: row["at"])
        click.echo(msgspec.json.encode(rows).decode())
        return
    start = lines[0].timestamp
    for line in lines:
        shown = {k: v for k, v in line.fields.items() if k not in _HIDDEN_FIELDS}
        text = " ".join(f"{key}={value}" for key, value in shown.items())
        _print_line(line, start, text)
    if causes:
        click.echo("Possible causes at the same gateway:")
    for line, text in causes:
        _print_line(line, start, text)
    _print_skipped_counts(reading)


def _print_line(line, start, text):
    offset_ms = (line.timestamp - start) * 1000.0
    click.echo(f"{offset_ms:+10.1f} ms  {line.host}  {line.event}  {text}")


def _find_request_lines(lines, request_id):
    """Return the lines of a request and those that other attempts of it led to.

    Attempts that take up the same stream are included.
    """
    own_lines = [line for line in lines if line.request_id == request_id]
    fingerprints = {line.fields.get("fingerprint") for line in own_lines} - {None}
    stream_ids = {line.fields.get("resumes") for line in own_lines} - {None}
    stream_ids.add(request_id)
    return [
        line
        for line in lines
        if line.request_id in stream_ids
        or line.fields.get("resumes") in stream_ids
        or line.event in _FINGERPRINT_EVENTS
        and line.fields.get("fingerprint") in fingerprints
    ]


def _print_json(reading, losses):
    tables = {
        group: [row._asdict() for row in tabulate(losses, group)] for group in GROUPS
    }
    value = {
        "lines": len(reading.lines),
        "passed_over": reading.passed_over,
        "left_out": reading.left_out,
        "losses": len(losses),
        "tables": tables,
    }
    click.echo(msgspec.json.encode(value).decode())


def _print_tables(reading, losses, most):
    click.echo(f"{len(losses)} requests lost or late in {len(reading.lines)} lines")
    _print_skipped_counts(reading)
    for group in GROUPS:
        rows = tabulate(losses, group)
        if not rows:
            continue
        click.echo("")
        click.echo(
            f"{group:28}{'count':>8}{'share':>8}{'first sent p50':>16}{'p99 ms':>9}"
        )
        shown = rows if group == "second" else rows[:most]
        for row in shown:
            click.echo(
                f"{row.value:28}{row.count:8}{row.share:8.1%}"
                f"{_format_ms(row.first_sent_p50):>16}{_format_ms(row.first_sent_p99):>9}"
            )
        if len(rows) > len(shown):
            click.echo(f"({len(rows) - len(shown)} more)")


def _print_skipped_counts(reading):
    if reading.passed_over:
        click.echo(
            f"{reading.passed_over} lines skipped: not log lines, or timed by another "
            f"clock"
        )
    if reading.left_out:
        click.echo(
            f"{reading.left_out} lines dropped by gateways above their log rate limit"
        )


def _format_ms(milliseconds):
    return "-" if milliseconds is None else f"{milliseconds:.0f}"
