"""Exchanges reports between gateways in memory, with a simulated clock."""

import collections
import random
import threading
from types import SimpleNamespace

from valeweir_gateway.admission.shares import Shares
from valeweir_gateway.admission.usage import UsageWindow
from valeweir_gateway.fleet.freshness import Freshness
from valeweir_gateway.fleet.members import Member, Members
from valeweir_gateway.fleet.report_exchange import Fleet
from valeweir_gateway.forwarding.retries import RetryBudget
from valeweir_gateway.placement.backoffs import Backoffs
from valeweir_gateway.placement.loads import Loads, Reads
from valeweir_gateway.placement.peer_failures import PeerFailures
from valeweir_gateway.quarantine.crashes import Suspects
from valeweir_gateway.quarantine.records import Quarantine
from valeweir_gateway.settings import Sharing, Store, Upstreams
from valeweir_gateway.stores import Position
from valeweir_gateway.upstreams.connections import Connections
from valeweir_gateway.upstreams.stream_origins import StreamOrigins
from valeweir_gateway.view.directory import Directory

TICK_S = 0.05
_WINDOW_S = 4.0


class Wire:
    """A simulated network between the report exchanges of gateways.

    Datagrams are delivered after ``delay`` seconds. Those from or to an address in
    ``down`` are lost, as are those for which ``is_cut`` returns true; it is called
    with the addresses of sender and receiver. ``create_state`` creates the state of
    a gateway from a `Member` and a clock.
    """

    def __init__(self, domains, size, create_state=None):
        self.now = 0.0
        self.delay = 0.0
        self._create_state = create_state or make_state
        self._in_flight = collections.deque()
        self.down = set()
        self.is_cut = lambda sender, target: False
        self.fleets = {}
        self.states = {}
        for number in range(size):
            address = f"10.{number // 200}.{number % 200}.1:7400"
            self._add(f"h{number}", f"d{number % domains}", address)

    def add_all_members(self):
        """Add every gateway to the members of each, as the store's records do."""
        for state in self.states.values():
            for other in self.states.values():
                state.members.add(other.members.own)

    def run(self, seconds):
        """Run the ticks of all exchanges for some simulated seconds."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self._deliver_due()
            for address, fleet in self.fleets.items():
                if address not in self.down:
                    fleet.tick(self.now)

    def get_unread_tokens(self, host, instance):
        """Return a gateway's estimate of the fleet's unread tokens at an instance."""
        load = self.states[host].loads.get(instance, self.now)
        return load.unread + load.remote_unread

    def _add(self, host, domain, address):
        state = self._create_state(Member(host, domain, address), lambda: self.now)
        sock = SimpleNamespace(
            sendto=lambda data, to: self._send(address, f"{to[0]}:{to[1]}", data)
        )
        self.fleets[address] = Fleet(state, address, sock, number=1, seed=1)
        self.states[host] = state

    def _send(self, sender, target, data):
        if self.delay:
            self._in_flight.append((self.now + self.delay, sender, target, data))
        else:
            self._deliver(sender, target, data)

    def _deliver_due(self):
        while self._in_flight and self._in_flight[0][0] <= self.now:
            self._deliver(*self._in_flight.popleft()[1:])

    def _deliver(self, sender, target, data):
        lost = {sender, target} & self.down or self.is_cut(sender, target)
        if target in self.fleets and not lost:
            host, _, port = sender.rpartition(":")
            self.fleets[target].receive(data, (host, int(port)))


def make_state(member, clock):
    """Return the parts of a gateway's state that the report exchange uses."""
    usage = UsageWindow(_WINDOW_S)
    loads = Loads()
    return SimpleNamespace(
        cfg=SimpleNamespace(
            host=member.host,
            domain=member.domain,
            store=Store("10.9.9.9:1"),
            upstreams=Upstreams(),
        ),
        clock=clock,
        backoffs=Backoffs(),
        catalog=None,
        connections=Connections(clock),
        directory=Directory(),
        directory_position=Position(0, 0),
        catalog_position=Position(0, 0),
        freshness=Freshness(),
        notices=collections.deque(),
        stream_origins=StreamOrigins(),
        suspects=Suspects(),
        quarantine=Quarantine(),
        quarantine_position=Position(0, 0),
        loads=loads,
        peer_failures=PeerFailures(loads, random.Random(member.host)),
        log=SimpleNamespace(note=lambda *args, **fields: None),
        members=Members(member),
        members_known=True,
        member_record=None,
        newer_view=threading.Event(),
        view_positions=(Position(0, 0),) * 3,
        reads=Reads(),
        retries=RetryBudget(0.2, 58, 10.0),
        shares=Shares(usage, Sharing(window=_WINDOW_S)),
        stopping=False,
        usage=usage,
    )
