"""The state of one router, guarded by a single lock."""

import random
import threading
from typing import NamedTuple

from valeweir import metrics
from valeweir.configuration import Configuration
from valeweir.timers import get_lease_time
from valeweir_fleet.peers import Peers
from valeweir_sharing.accounting import Ledger
from valeweir_sharing.choice import PrefixHints
from valeweir_sharing.digest_interval import DigestInterval
from valeweir_sharing.estimates import CostEstimates
from valeweir_sharing.health import UpstreamHealth
from valeweir_sharing.idempotency_keys import KeyTable
from valeweir_sharing.leases import LeaseHolder
from valeweir_sharing.limits import AdmissionLimits, Occupancy, RetryBudget
from valeweir_sharing.queues import OrderSettings, PoolQueue
from valeweir_sharing.usage import ServiceKey


class Upstream(NamedTuple):
    """An upstream of the current configuration."""

    name: str
    pool: str
    kind: str
    domain: str
    address: str
    slots: int
    leaving: bool
    repeatable: frozenset[str]
    models: frozenset[str]


class Ticket:
    """One request, from its arrival to its end.

    Attributes
    ----------
    charge : float
        Expected cost per weight.
    settled : float
        Cost per weight already settled while the response is streamed.
    slot_signal : threading.Lock
        Released when the ticket gets a slot.
    """

    __slots__ = (
        "account",
        "arrived",
        "charge",
        "deadline",
        "dispatched_at",
        "excluded_upstreams",
        "slot_signal",
        "id",
        "placement",
        "pool",
        "prefix",
        "settled",
        "body_size",
        "weight",
        "work_class",
    )

    def __init__(
        self, request_id, key, work_class, arrived, deadline, body_size, prefix
    ):
        self.id = request_id
        self.pool, self.account = key
        self.work_class = work_class
        self.arrived = arrived
        self.deadline = deadline
        self.body_size = body_size
        self.prefix = prefix
        self.weight = 1.0
        self.charge = 0.0
        self.settled = 0.0
        self.dispatched_at = 0.0
        self.excluded_upstreams = set()
        self.placement = None
        self.slot_signal = threading.Lock()
        self.slot_signal.acquire()

    @property
    def key(self):
        """The key of this request in the ledger."""
        return ServiceKey(self.pool, self.account)


class RouterState:
    """The state of one router.

    Attributes
    ----------
    source : str
        Name of this incarnation, ``HOST#NUMBER``.
    upstreams : dict of str to Upstream
    pools : dict of str to list of upstream names
    owners : dict of upstream to the incarnation that leases out its slots
    tables : dict of upstream to its lease table, for upstreams owned here
    owned : dict of pool to list of the upstreams owned here
    announced_waiting : dict of pool to {account: requests}
        Waiting requests in the last report to the owners, less those dispatched since.
    pools_with_due_ask : set of pools
        An `Ask` is due as soon as the minimum interval has passed.
    min_free_slots : dict of upstream to the fewest free slots since the last digest
    last_slot_at : dict of (holder, pool) to the time it last had a slot of an owned
        upstream
    fully_reported : set of incarnations that have sent a whole digest
    key_row_sources : set of hosts that have sent their recorded key claims
    key_claims : dict of (key, request) to the claim in progress
    """

    def __init__(self, cfg, source, clock=get_lease_time, seed=None):
        self.cfg = cfg
        self.source = source
        self.host = cfg["host"]
        self.domain = cfg["domain"]
        self.clock = clock
        self.rng = random.Random(seed)
        self.lock = threading.RLock()
        self.configuration = Configuration()
        self.upstreams = {}
        self.pools = {}
        self.accounts_by_hash = {}
        self.account_numbers = {}
        self.account_names = {}
        self.weights = {}
        self.weight_sum = 1.0
        self.ledger = Ledger()
        self.ledger.complete = False
        self.fully_reported = set()
        self.estimates = CostEstimates()
        self.queues = {}
        self.holder = LeaseHolder(cfg["fleet"]["lease"])
        self.tables = {}
        self.owners = {}
        self.owned = {}
        self.handovers = {}
        self.last_tick_at = clock()
        self.last_ask_at = {}
        self.last_recall_at = {}
        self.last_slot_at = {}
        self.announced_waiting = {}
        self.pools_with_due_ask = set()
        self.min_free_slots = {}
        self.peers = Peers(cfg["fleet"]["lease"] / 2)
        self.digest_interval = DigestInterval(cfg["fleet"])
        self.health = UpstreamHealth(self.rng)
        self.hints = PrefixHints()
        self.loads = {}
        self.occupancy = Occupancy()
        self.retry_budget = RetryBudget()
        self.inflight = 0
        self.leaving = False
        self.refusing = False
        self.config_known = False
        self.config_gap = False
        self.started_at = clock()
        self.keys = KeyTable()
        self.key_row_sources = set()
        self.key_claims = {}
        self.history_known = False
        self.silent_since = {}
        self.digest_count = 0
        self.seq = 0
        self.links = None
        sharing = cfg["sharing"]
        self.queue_order = OrderSettings(sharing["class_bonus"], sharing["aging"])
        callers = cfg["callers"]
        self.limits = AdmissionLimits(
            callers["max_waiting"], callers["max_waiting_body"], callers["max_body"]
        )

    def get_queue(self, pool):
        """Return the queue of a pool."""
        queue = self.queues.get(pool)
        if queue is None:
            queue = self.queues[pool] = PoolQueue()
        return queue

    def get_weight(self, pool, account):
        """Return the account's weight in a pool; 1 without a share."""
        specific = self.weights.get(f"{account}.{pool}")
        return specific or self.weights.get(account, 1.0)

    def get_weight_ratio(self, account):
        """Return the account's weight over the sum of all weights."""
        return self.weights.get(account, 1.0) / self.weight_sum

    def get_slack(self, pool):
        """Return the hand-back slack of a pool in cost per weight."""
        slack = self.cfg["sharing"]["slack"] * self.digest_interval.pressure
        return slack * self.ledger.get_mean_charge(pool)

    def next_seq(self):
        """Return the sequence number for the next message to send."""
        self.seq += 1
        return self.seq

    def apply_configuration(self):
        """Recompute the attributes derived from the current configuration."""
        resources = self.configuration.resources
        self.upstreams = {
            r.name: _make_upstream(r) for r in _get_upstream_resources(resources)
        }
        self.pools = {}
        for up in self.upstreams.values():
            self.pools.setdefault(up.pool, []).append(up.name)
        self.accounts_by_hash = {
            key_hash: res.name
            for res in resources["client-accounts"].values()
            for key_hash in res.spec["key_hashes"]
        }
        self.weights = {n: r.spec["weight"] for n, r in resources["shares"].items()}
        accounts = resources["client-accounts"]
        self.account_numbers = {n: r.created for n, r in accounts.items()}
        self.account_names = {r.created: n for n, r in accounts.items()}
        total = sum(self.weights.get(name, 1.0) for name in accounts)
        self.weight_sum = total or 1.0
        metrics.config_offset.set(self.configuration.offset)


def _get_upstream_resources(resources):
    return sorted(resources["upstreams"].values(), key=lambda r: r.name)


def _make_upstream(res):
    spec = res.spec
    return Upstream(
        res.name,
        spec["pool"],
        spec["kind"],
        spec["domain"],
        spec["address"],
        spec["slots"],
        spec.get("state", "serving") == "leaving",
        frozenset(m.upper() for m in spec.get("repeatable", ())),
        frozenset(spec.get("models", ())),
    )
