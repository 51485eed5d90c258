"""The command line for operators and developers."""

import sys

import click
from valeweir import __version__
from valeweir.exceptions import SettingsError
from valeweir.settings import load_settings

from . import operate
from .bench import bench, demo
from .explain import explain
from .standins import standin

_BAD_SETTINGS_STATUS = 2


@click.group()
@click.version_option(__version__, prog_name="valeweir")
def main():
    """Operate a valeweir fleet, or run one locally."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
def check(files):
    """Check settings FILES and print each error with its path and line."""
    has_faults = False
    for path in files:
        try:
            load_settings(path)
        except SettingsError as exc:
            has_faults = True
            for fault in exc.faults:
                click.echo(f"{path}: {fault}")
        else:
            click.echo(f"{path}: ok")
    if has_faults:
        sys.exit(_BAD_SETTINGS_STATUS)


main.add_command(bench)
main.add_command(demo)
main.add_command(explain)
main.add_command(standin)
for command in (
    operate.get,
    operate.apply,
    operate.diff,
    operate.delete,
    operate.watch,
    operate.drain,
    operate.status,
):
    main.add_command(command)

if __name__ == "__main__":
    main()
