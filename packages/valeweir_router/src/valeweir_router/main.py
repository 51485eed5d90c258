"""Command line of the router daemon."""

import signal
import sys
import threading

import click
from valeweir import __version__
from valeweir.exceptions import SettingsError
from valeweir.logs import configure_logging
from valeweir.settings import load_settings

from .router import create_router

_EXIT_BAD_SETTINGS = 2
_EXIT_REQUESTS_CUT = 1
_THREAD_STACK_BYTES = 256 << 10


@click.command()
@click.argument("settings", type=click.Path(dir_okay=False))
@click.version_option(__version__, prog_name="valeweird")
def main(settings):
    """Run one router with the SETTINGS file until SIGTERM or SIGINT.

    The first signal starts a graceful stop; a second one ends its waits.
    Exit codes: 0 no request was cut off, 1 requests were cut off, 2 invalid settings.
    """
    try:
        cfg = load_settings(settings)
    except SettingsError as exc:
        for fault in exc.faults:
            click.echo(f"{exc.path}: {fault}", err=True)
        sys.exit(_EXIT_BAD_SETTINGS)
    configure_logging(cfg["log"]["form"], cfg["log"]["level"])
    # Thousands of callers may wait, each in its own thread, so stacks are small.
    threading.stack_size(_THREAD_STACK_BYTES)
    router = create_router(cfg)
    stop_requested = threading.Event()

    def on_signal(_number, _frame):
        if stop_requested.is_set():
            router.abort_stop_waits()
        stop_requested.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    router.start()
    while not stop_requested.wait(1.0):
        pass
    sys.exit(_EXIT_REQUESTS_CUT if router.stop() else 0)


if __name__ == "__main__":
    main()
