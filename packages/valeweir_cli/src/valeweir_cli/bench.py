"""``valeweir bench`` and ``valeweir demo``: run experiments on a local fleet."""

import json

import click
from tqdm import tqdm
from valeweir_standins.control_costs import Size, measure
from valeweir_standins.deployments import get_deployment
from valeweir_standins.experiments import Setup, run_experiment
from valeweir_standins.reporting import measure_reports
from valeweir_standins.router_overheads import measure_path
from valeweir_standins.scenarios import SCENARIOS

_VIOLATION_STATUS = 1


@click.group()
def bench():
    """Measure a fleet of real processes with stand-in upstreams and seeded load."""


@bench.command("list")
def list_scenarios():
    """List the scenarios."""
    for scenario in SCENARIOS.values():
        click.echo(f"{scenario.name:20} {scenario.text}")


@bench.command()
@click.argument("scenario", type=click.Choice(sorted(SCENARIOS)))
@click.option("--deployment", type=click.Choice(["hooghly", "kat"]), default="hooghly")
@click.option(
    "--sharing",
    type=click.Choice(["leases", "static", "oracle", "all"]),
    default="leases",
    help="How slots are shared; 'all' runs the three modes in sequence.",
)
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--routers", default=9, show_default=True)
@click.option("--upstreams", default=5, show_default=True, help="Model engines.")
@click.option("--accounts", default=16, show_default=True)
@click.option(
    "--set", "sets", multiple=True, help="Override a setting: SECTION.KEY=JSON."
)
@click.option("--json", "json_path", type=click.Path(dir_okay=False))
@click.option("--plot", "plot_path", type=click.Path(dir_okay=False))
def run(
    scenario,
    deployment,
    sharing,
    seconds,
    seed,
    routers,
    upstreams,
    accounts,
    sets,
    json_path,
    plot_path,
):
    """Run SCENARIO and print its results."""
    layout = get_deployment(deployment, routers, upstreams, accounts)
    modes = ["static", "leases", "oracle"] if sharing == "all" else [sharing]
    results = []
    for mode in modes:
        experiment = Setup(
            scenario, layout, mode, seconds, seed, _parse_overrides(sets)
        )
        results.append(_run_with_progress_bar(experiment))
        _print_result(results[-1])
    _write_results(results, json_path, plot_path)
    if any(_has_violations(r) for r in results):
        raise SystemExit(_VIOLATION_STATUS)


@bench.command()
def path():
    """Measure the overhead of one router for a call to one engine."""
    for name, value in measure_path().items():
        click.echo(f"{name:24} {value}")


@bench.command()
@click.option(
    "--peers",
    default=48,
    show_default=True,
    help="Routers that exchange digests with this one.",
)
@click.option("--domains", default=19, show_default=True)
@click.option("--accounts", default=530, show_default=True)
@click.option("--backlogged", default=53, show_default=True)
@click.option("--pools", default=12, show_default=True)
@click.option(
    "--upstreams",
    default=400,
    show_default=True,
    help="Upstreams of the failure domain.",
)
@click.option(
    "--reported", default=40, show_default=True, help="Accounts in each digest."
)
def slopes(**size):
    """Measure the control cost of one router in a fleet of a given size."""
    for name, value in measure(Size(**size)).items():
        click.echo(f"{name:30} {value}")


@bench.command()
@click.option("--gateways", default=59, show_default=True)
@click.option("--domains", default=3, show_default=True)
@click.option("--engines", default=70, show_default=True)
@click.option("--accounts", default=30, show_default=True)
def reports(**size):
    """Measure the cost of reports for one gateway in a fleet of a given size."""
    for name, value in measure_reports(**size)._asdict().items():
        click.echo(f"{name:20} {value:.1f}")


@click.command()
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--deployment", type=click.Choice(["hooghly", "kat"]), default="hooghly")
def demo(seconds, deployment):
    """Run a local fleet, by default for 30 s, and show how it shares capacity."""
    layout = get_deployment(deployment)
    click.echo(
        f"{len(layout.routers)} routers, {len(layout.upstreams)} upstreams and "
        f"{len(layout.accounts)} client accounts on this machine"
    )
    result = _run_with_progress_bar(Setup("mixed", layout, "leases", seconds, 1, {}))
    _print_account_table(result, layout)
    _print_result(result)


def _has_violations(result):
    """Return whether a guarantee was violated.

    Scenarios that kill processes may cut off responses, so these do not count there.
    """
    counts = dict(result["promises"])
    if result["cuts_expected"]:
        del counts["cut"]
    return any(counts.values())


def _run_with_progress_bar(experiment):
    with tqdm(
        total=100, unit="%", leave=False, disable=None, desc=experiment.sharing
    ) as bar:

        def on_progress(done):
            bar.update(min(100, int(done * 100)) - bar.n)

        return run_experiment(experiment, on_progress)


def _parse_overrides(sets):
    overrides = {}
    for item in sets:
        path, _, text = item.partition("=")
        section, _, key = path.partition(".")
        try:
            overrides.setdefault(section, {})[key] = json.loads(text)
        except json.JSONDecodeError as exc:
            raise click.BadParameter(f"{item}: {exc}") from exc
    return overrides


def _print_account_table(result, layout):
    click.echo(f"{'client account':18}{'weight':>7}{'service per share':>19}")
    weights = {a.name: a.weight for a in layout.accounts}
    for name, service in result["service_per_share"].items():
        click.echo(f"{name:18}{weights[name]:7g}{service:19.1f}")


def _print_result(result):
    click.echo(
        f"{result['scenario']}/{result['deployment']}/{result['sharing']}: "
        f"fairness gap {result['fairness_gap_mean_requests']} mean requests "
        f"(mean spread {result['fairness_gap_mean_over_time']}), "
        f"utilisation {result['utilisation_while_waiting']}, "
        f"control traffic {result['control_bytes_per_second_per_router']} B/s and "
        f"{result['control_cpu_share']:.2%} of a core per router, "
        f"{result['messages_per_request']} messages per request, "
        f"{result['requests_per_second']} requests/s"
    )
    click.echo(f"  outcomes {result['outcomes']}")
    click.echo(f"  violated guarantees {result['promises']}")
    if result["findings"]:
        click.echo(f"  findings {result['findings']}")
    thirds = [
        f"{t['requests_per_second']}/s at {t['utilisation']}" for t in result["thirds"]
    ]
    click.echo(f"  before, during, after: {'; '.join(thirds)}")


def _write_results(results, json_path, plot_path):
    if json_path:
        data = results[0] if len(results) == 1 else results
        with open(json_path, "w", encoding="utf-8") as file:
            json.dump(data, file, indent=1)
    if plot_path:
        from .plots import draw_curves

        draw_curves(results, plot_path)
