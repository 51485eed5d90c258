"""Gateway state on a fake clock, for tests of the view of the store."""

from valeweir_gateway.settings import GatewaySettings, Listen, Store, Upstreams
from valeweir_gateway.states import GatewayState
from valeweir_gateway.view.follower import TopicFollower
from valeweir_gateway.view.topic_followers import Followers


class Clock:
    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now


class RecordingLog:
    def __init__(self):
        self.events = []

    def note(self, event, failed=False, **fields):
        self.events.append(event)


def make_state(member, clock, leave_within=2.0):
    host = member.address.rpartition(":")[0]
    listen = Listen(f"{host}:1", f"{host}:2", f"{host}:3", member.address)
    cfg = GatewaySettings(
        member.host,
        member.domain,
        listen,
        Store("10.9.9.9:1", change_within_ms=leave_within * 1000.0),
        upstreams=Upstreams(leave_within_ms=leave_within * 1000.0),
    )
    return GatewayState(cfg, RecordingLog(), clock=clock)


def make_followers(catalog, instances, quarantine=None):
    """Return the followers of a gateway, without one for the members topic."""
    if quarantine is None:
        quarantine = TopicFollower(
            None, "quarantine", ignore, ignore, None, None, Clock()
        )
    return Followers(catalog, instances, quarantine, None)


def ignore(*_):
    """Accept any arguments and do nothing."""
