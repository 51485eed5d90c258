"""``valeweir standin``: runs one stand-in server as a process."""

import signal
import threading

import click
from valeweir_standins import platform, upstreams


@click.group()
def standin():
    """Run a stand-in for an upstream or for a service of the platform."""


def _run_server(server):
    stop_event = threading.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: stop_event.set())
    server.start_threads()
    click.echo(f"listening on {server.bind_addr[0]}:{server.bind_addr[1]}", err=True)
    stop_event.wait()
    server.stop()


_address_option = click.option("--address", default="127.0.0.1:0", show_default=True)
_slots_option = click.option("--slots", default=16, show_default=True)
_seed_option = click.option("--seed", default=0, show_default=True)


@standin.command()
@_address_option
@_slots_option
@_seed_option
@click.option("--model", default="vale-llm", show_default=True)
@click.option(
    "--token-time", default=0.01, show_default=True, help="Seconds per token."
)
@click.option("--prompt-time", default=0.0, help="Seconds per prompt character.")
def engine(address, slots, seed, model, token_time, prompt_time):
    """Run a stand-in for a model engine."""
    _run_server(
        upstreams.create_engine(address, model, slots, token_time, prompt_time, seed)
    )


@standin.command()
@_address_option
@_slots_option
@_seed_option
@click.option("--call-time", default=0.02, show_default=True, help="Seconds per call.")
def service(address, slots, seed, call_time):
    """Run a stand-in for a plain service."""
    _run_server(upstreams.create_service(address, slots, call_time, seed))


@standin.command()
@_address_option
@click.option(
    "--keep", default=100_000, show_default=True, help="Number of records to keep."
)
def log(address, keep):
    """Run a stand-in for the log service of the platform."""
    _run_server(platform.create_log(address, keep))


@standin.command()
@_address_option
def membership(address):
    """Run a stand-in for the membership list of the platform."""
    _run_server(platform.create_membership(address, []))
