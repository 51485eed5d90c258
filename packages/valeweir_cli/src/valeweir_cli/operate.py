"""Operator commands: get, apply, diff, delete, watch, drain, status."""

import json

import click
import json5
from valeweir.resources import KINDS

from .clients import Client

_kind_argument = click.argument("kind", type=click.Choice(KINDS))
_output_option = click.option(
    "-o", "--output", type=click.Choice(["table", "json"]), default="table"
)


def _add_connection_options(function):
    """Add the options for the address of the router and the API key."""
    function = click.option(
        "--server",
        envvar="VALEWEIR_SERVER",
        default="http://127.0.0.1:8081",
        show_default=True,
        help="URL of the admin port of any router (VALEWEIR_SERVER).",
    )(function)
    return click.option(
        "--key", envvar="VALEWEIR_KEY", required=True, help="API key (VALEWEIR_KEY)."
    )(function)


@click.command()
@_kind_argument
@click.argument("name", required=False)
@_output_option
@_add_connection_options
def get(kind, name, output, server, key):
    """Show all resources of a KIND, or the one called NAME."""
    client = Client(server, key)
    if name:
        rows = [client.call("GET", f"/v1/{kind}/{name}")]
    else:
        rows = _list_all(client, kind)
    if output == "json":
        click.echo(json.dumps(rows[0] if name else rows, indent=2))
        return
    _print_rows(
        ["NAME", "VERSION", "IN FORCE", "SPEC"],
        [
            [
                r["name"],
                r["version"],
                _describe_in_force(r["status"]),
                json.dumps(r["spec"])[:70],
            ]
            for r in rows
        ],
    )


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.File())
@click.option(
    "--dry-run", is_flag=True, help="Validate the resources without changing them."
)
@_add_connection_options
def apply(files, dry_run, server, key):
    """Create or replace the resources in FILES (JSON with comments).

    A file contains one resource or a list of them: {kind, name, spec}.
    """
    client = Client(server, key)
    for kind, name, spec in _read_resources(files):
        suffix = "?dry-run=1" if dry_run else ""
        body = client.call("PUT", f"/v1/{kind}/{name}{suffix}", spec)
        version = "checked" if dry_run else f"version {body['version']}"
        click.echo(f"{kind}/{name} {version}")


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.File())
@_add_connection_options
def diff(files, server, key):
    """Show how FILES differ from the specs in force; exit with 1 if so."""
    client = Client(server, key)
    has_differences = False
    for kind, name, spec in _read_resources(files):
        response = client.try_call("GET", f"/v1/{kind}/{name}")
        current = response.body.get("spec", {}) if response.status == 200 else {}
        for field in sorted(set(current) | set(spec)):
            if current.get(field) != spec.get(field):
                has_differences = True
                old, new = json.dumps(current.get(field)), json.dumps(spec.get(field))
                click.echo(f"{kind}/{name} {field}: {old} -> {new}")
    raise SystemExit(int(has_differences))


@click.command()
@_kind_argument
@click.argument("name")
@_add_connection_options
def delete(kind, name, server, key):
    """Delete a resource."""
    body = Client(server, key).call("DELETE", f"/v1/{kind}/{name}")
    click.echo(f"{kind}/{name} deleted at version {body['version']}")


@click.command()
@_kind_argument
@click.option("--from", "since", type=int, help="Version to watch from.")
@_add_connection_options
def watch(kind, since, server, key):
    """Print changes to a KIND as they come into force, one JSON object per line."""
    path = f"/v1/{kind}?watch=1" + (f"&from={since}" if since is not None else "")
    for event in Client(server, key).watch(path):
        click.echo(json.dumps(event))


@click.command()
@click.argument("upstream")
@click.option("--resume", is_flag=True, help="Let the upstream serve again.")
@_add_connection_options
def drain(upstream, resume, server, key):
    """Send an UPSTREAM no new requests; running ones complete there."""
    state = "serving" if resume else "leaving"
    body = Client(server, key).call(
        "PATCH", f"/v1/upstreams/{upstream}", {"state": state}
    )
    click.echo(f"{upstream} is {state} at version {body['version']}")


@click.command()
@_output_option
@_add_connection_options
def status(output, server, key):
    """Show an overview of the fleet as seen by one router."""
    fleet = Client(server, key).call("GET", "/v1/fleet")
    if output == "json":
        click.echo(json.dumps(fleet, indent=2))
        return
    click.echo(f"as seen by {fleet['host']} in {fleet['domain']}\n")
    _print_rows(
        ["ROUTER", "DOMAIN", "STATE", "CONFIG"],
        [
            [r["host"], r["domain"], _describe_router(r), r["config_offset"]]
            for r in fleet["routers"]
        ],
    )
    click.echo()
    _print_rows(
        ["UPSTREAM", "POOL", "DOMAIN", "SLOTS", "STATE", "OWNER"],
        [
            [
                u["name"],
                u["pool"],
                u["domain"],
                u["slots"],
                "leaving" if u["leaving"] else "serving",
                u["owner"].partition("#")[0],
            ]
            for u in fleet["upstreams"]
        ],
    )
    click.echo()
    _print_rows(
        ["POOL", "CLIENT ACCOUNT", "WEIGHT", "WAITING", "SERVICE/SHARE"],
        [
            [
                a["pool"],
                a["account"],
                a["weight"],
                a["waiting"],
                a["virtual_service"],
            ]
            for a in fleet["accounts"]
            if a["waiting"] or a["virtual_service"]
        ],
    )


def _list_all(client, kind):
    rows = []
    after = ""
    while after is not None:
        body = client.call("GET", f"/v1/{kind}?after={after}")
        rows += body["items"]
        after = body["next"]
    return rows


def _read_resources(files):
    """Yield ``(kind, name, spec)`` for each resource in the files."""
    for file in files:
        try:
            data = json5.load(file)
        except ValueError as exc:
            raise click.ClickException(f"{file.name}: {exc}") from exc
        for row in data if isinstance(data, list) else [data]:
            if not isinstance(row, dict) or not {"kind", "name", "spec"} <= set(row):
                raise click.ClickException(
                    f"{file.name}: a resource needs kind, name and spec"
                )
            yield row["kind"], row["name"], row["spec"]


def _describe_in_force(state):
    if state["in_force"]:
        return f"all {state['in_force_count']}"
    return f"{state['in_force_count']}, not {','.join(state['lagging'][:3])}"


def _describe_router(row):
    if not row["live"]:
        return "silent"
    return "leaving" if row["leaving"] else "live"


def _print_rows(titles, rows):
    cells = [titles, *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(titles))]
    for row in cells:
        line = "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        click.echo(line.rstrip())
