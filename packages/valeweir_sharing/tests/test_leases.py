import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from valeweir_sharing.leases import LEASE_MARGIN_S, LeaseHolder, LeaseTable

LEASE = 4.0
UP = "vale-llm-1"


def make_pair(slots=4, now=0.0):
    table = LeaseTable(UP, slots, epoch=10, recovery_ends_at=now)
    holder = LeaseHolder(LEASE)
    holder.renew_leases("owner", now)
    return table, holder


class TestHolder(unittest.TestCase):
    def test_slot_is_reused_without_a_message(self):
        table, holder = make_pair()
        table.grant("h", 1, 0.0)
        holder.merge_grant("owner", table.get_grant("h"))
        for _ in range(3):
            self.assertTrue(holder.take(UP, 1.0))
            self.assertFalse(holder.take(UP, 1.0))
            holder.finish(UP)

    def test_lapsed_lease_allows_no_request(self):
        table, holder = make_pair()
        table.grant("h", 2, 0.0)
        holder.merge_grant("owner", table.get_grant("h"))
        self.assertTrue(holder.take(UP, LEASE - 0.1))
        self.assertFalse(holder.take(UP, LEASE))

    def test_lapse_returns_all_slots(self):
        table, holder = make_pair()
        table.grant("h", 3, 0.0)
        holder.merge_grant("owner", table.get_grant("h"))
        self.assertEqual(holder.drop_lapsed(LEASE), [UP])
        table.merge_claim("h", holder.get_claim(UP), LEASE)
        self.assertEqual(table.get_free(LEASE), 4)

    def test_repeated_and_older_grants_are_ignored(self):
        table, holder = make_pair()
        table.grant("h", 1, 0.0)
        first = table.get_grant("h")
        table.grant("h", 1, 0.0)
        second = table.get_grant("h")
        gains = [holder.merge_grant("owner", g) for g in (second, first, second)]
        self.assertEqual(gains, [2, 0, 0])

    def test_lower_epoch_is_ignored(self):
        _, holder = make_pair()
        new = LeaseTable(UP, 4, epoch=11, recovery_ends_at=0.0)
        old = LeaseTable(UP, 4, epoch=10, recovery_ends_at=0.0)
        for table in (new, old):
            table.grant("h", 2, 0.0)
        holder.merge_grant("b", new.get_grant("h"))
        self.assertEqual(holder.merge_grant("a", old.get_grant("h")), 0)
        self.assertEqual(holder.held[UP].owner, "b")


class TestTable(unittest.TestCase):
    def test_new_owner_adopts_held_slots(self):
        old, holder = make_pair()
        old.grant("h", 3, 0.0)
        holder.merge_grant("owner", old.get_grant("h"))
        new = LeaseTable(UP, 4, epoch=11, recovery_ends_at=5.0)
        new.merge_claim("h", holder.get_claim(UP), 1.0)
        self.assertEqual(new.outstanding, 3)
        self.assertEqual(new.get_free(1.0), 0)
        self.assertEqual(new.get_free(5.0), 1)

    def test_slot_returned_to_a_new_owner_is_free_at_once(self):
        old, holder = make_pair()
        old.grant("h", 3, 0.0)
        holder.merge_grant("owner", old.get_grant("h"))
        new = LeaseTable(UP, 4, epoch=11, recovery_ends_at=5.0)
        new.merge_claim("h", holder.get_claim(UP), 1.0)
        holder.merge_grant("new", new.get_grant("h"))
        holder.return_slots(UP, 1)
        new.merge_claim("h", holder.get_claim(UP), 1.1)
        self.assertEqual(new.get_free(1.1), 1)

    def test_holder_expires_only_after_its_leases_lapse(self):
        table, _ = make_pair()
        table.grant("h", 2, 0.0)
        self.assertEqual(table.expire(LEASE, LEASE), [])
        self.assertEqual(table.expire(LEASE + LEASE_MARGIN_S + 0.1, LEASE), ["h"])

    def test_higher_epoch_in_a_claim_is_returned(self):
        table, _ = make_pair()
        holder = LeaseHolder(LEASE)
        newer = LeaseTable(UP, 4, epoch=12, recovery_ends_at=0.0)
        newer.grant("h", 1, 0.0)
        holder.merge_grant("newer", newer.get_grant("h"))
        self.assertEqual(table.merge_claim("h", holder.get_claim(UP), 0.0), 12)


class LeaseProtocol(RuleBasedStateMachine):
    """An owner and holders on a network that loses, repeats and reorders messages.

    Rules include pauses of any length and the replacement of the owner by one
    with an empty table. The invariant is that the slots that holders may use
    never exceed the slots of the upstream.
    """

    SLOTS = 5
    NAMES = ("x", "y", "z")

    @initialize()
    def start(self):
        self.now = 0.0
        self.epoch = 1
        self.owner = "o1"
        self.table = LeaseTable(UP, self.SLOTS, self.epoch, 0.0)
        self.holders = {name: LeaseHolder(LEASE) for name in self.NAMES}
        self.to_holder = []
        self.to_owner = []

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 3))
    def grant(self, name, count):
        count = min(count, self.table.get_free(self.now))
        if count:
            self.table.grant(name, count, self.now)

    @rule(name=st.sampled_from(NAMES))
    def send_grant(self, name):
        if name in self.table.entries:
            grant = self.table.get_grant(name)
            self.to_holder.append((name, self.owner, grant, self.echoes.get(name)))

    @rule(name=st.sampled_from(NAMES))
    def send_claim(self, name):
        claim = self.holders[name].get_claim(UP)
        self.to_owner.append((name, self.now, claim))

    @rule(position=st.integers(0, 100), duplicate=st.booleans())
    def deliver_to_owner(self, position, duplicate):
        if not self.to_owner:
            return
        index = position % len(self.to_owner)
        name, sent, claim = self.to_owner[index]
        newest = max((s for n, s, _ in self.delivered if n == name), default=-1.0)
        if not duplicate:
            del self.to_owner[index]
        if sent <= newest:
            return  # sequence numbers reject repeated and outdated messages
        self.delivered.append((name, sent, claim))
        self.table.merge_claim(name, claim, self.now)
        self.echoes[name] = sent

    @rule(position=st.integers(0, 100), duplicate=st.booleans())
    def deliver_to_holder(self, position, duplicate):
        if not self.to_holder:
            return
        index = position % len(self.to_holder)
        name, owner, grant, echo = self.to_holder[index]
        if not duplicate:
            del self.to_holder[index]
        if echo is not None:
            self.holders[name].renew_leases(owner, echo)
        self.holders[name].merge_grant(owner, grant)

    @rule(name=st.sampled_from(NAMES), count=st.integers(0, 3))
    def exchange(self, name, count):
        """A digest in each direction and a grant, without loss."""
        self.send_claim(name)
        self.deliver_to_owner(len(self.to_owner) - 1, duplicate=True)
        self.grant(name, count)
        self.send_grant(name)
        self.deliver_to_holder(len(self.to_holder) - 1, duplicate=True)

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 3))
    def return_slots(self, name, count):
        self.holders[name].return_slots(UP, count)

    @rule(seconds=st.sampled_from((0.1, 1.0, LEASE, 3 * LEASE)))
    def pass_time(self, seconds):
        self.now += seconds
        for holder in self.holders.values():
            holder.drop_lapsed(self.now)
        self.table.expire(self.now, LEASE)

    @precondition(lambda self: self.epoch < 5)
    @rule()
    def replace_owner(self):
        self.epoch += 1
        self.owner = f"o{self.epoch}"
        self.table = LeaseTable(
            UP, self.SLOTS, self.epoch, self.now + LEASE + LEASE_MARGIN_S
        )
        self.echoes.clear()
        self.delivered.clear()

    @invariant()
    def slots_are_never_overcommitted(self):
        if not hasattr(self, "holders"):
            return
        usable = sum(
            holder.held[UP].slots
            for holder in self.holders.values()
            if UP in holder.held and holder.is_valid(UP, self.now)
        )
        assert usable <= self.SLOTS, usable

    def __init__(self):
        super().__init__()
        self.echoes = {}
        self.delivered = []


class TestLeaseProtocol(unittest.TestCase):
    def test_slots_are_never_overcommitted(self):
        run_state_machine_as_test(
            LeaseProtocol,
            settings=settings(
                max_examples=150,
                stateful_step_count=40,
                deadline=None,
                derandomize=True,
            ),
        )
