"""``valeweir standin``: one small stand-in as a process."""

import signal
import threading

import click
from valeweir_standins import platform, upstreams


@click.group()
def standin():
    """Run a stand-in of an upstream or of the platform."""


def _serve(server):
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    server.start_threads()
    click.echo(f"listening on {server.bind_addr[0]}:{server.bind_addr[1]}", err=True)
    stopped.wait()
    server.stop()


_address = click.option("--address", default="127.0.0.1:0", show_default=True)
_slots = click.option("--slots", default=16, show_default=True)
_seed = click.option("--seed", default=0, show_default=True)


@standin.command()
@_address
@_slots
@_seed
@click.option("--model", default="vale-llm", show_default=True)
@click.option("--token-time", default=0.01, show_default=True, help="Seconds a token.")
@click.option("--prompt-time", default=0.0, help="Seconds a prompt character.")
def engine(address, slots, seed, model, token_time, prompt_time):
    """Stand in for a model engine."""
    _serve(
        upstreams.create_engine(address, model, slots, token_time, prompt_time, seed)
    )


@standin.command()
@_address
@_slots
@_seed
@click.option("--call-time", default=0.02, show_default=True, help="Seconds a call.")
def service(address, slots, seed, call_time):
    """Stand in for a plain service."""
    _serve(upstreams.create_service(address, slots, call_time, seed))


@standin.command()
@_address
@click.option("--keep", default=100_000, show_default=True, help="Records kept.")
def log(address, keep):
    """Stand in for the platform's log service."""
    _serve(platform.create_log(address, keep))


@standin.command()
@_address
def membership(address):
    """Stand in for the platform's membership list."""
    _serve(platform.create_membership(address, []))
