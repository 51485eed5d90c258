"""Guards against bodies that exceed the memory of the process, or wait forever."""

import asyncio
import unittest

from valeweir_gateway.transport.body_memory import SMALL_BODY_BYTES, BodyMemory

LIMIT = 10 * SMALL_BODY_BYTES


class TestBodyMemory(unittest.TestCase):
    def setUp(self):
        self.memory = BodyMemory(lambda: LIMIT)

    def open(self, size):
        holding = self.memory.open()
        holding.resize(size)
        return holding

    def test_small_body_never_waits(self):
        first, second = self.open(LIMIT), self.open(LIMIT)
        self.assertTrue(first.may_grow)
        self.assertFalse(second.may_grow)
        self.assertTrue(self.open(SMALL_BODY_BYTES).may_grow)

    def test_one_body_is_granted_what_it_needs(self):
        first, second = self.open(LIMIT), self.open(LIMIT)
        self.assertTrue(first.may_grow)
        first.resize(5 * LIMIT)
        self.assertEqual((first.may_grow, second.may_grow), (True, False))
        first.close()
        second.resize(5 * LIMIT)
        self.assertTrue(second.may_grow)

    def test_complete_bodies_stop_further_grants(self):
        first, second = self.open(2 * LIMIT), self.open(LIMIT)
        self.assertTrue(first.may_grow)
        first.complete()
        self.assertFalse(second.may_grow)
        first.resize(LIMIT)
        self.assertTrue(second.may_grow)
        first.close()
        second.close()
        self.assertEqual((self.memory.total, self.memory.complete_bytes), (0, 0))

    def test_waiting_bodies_go_on_in_their_order(self):
        first, others = self.open(2 * LIMIT), [self.open(LIMIT // 2) for _ in range(3)]
        self.assertTrue(first.may_grow)
        self.assertFalse(any(row.may_grow for row in others))

        async def wait():
            waiters = [row.add_waiter(LIMIT // 2) for row in others]
            first.close()
            await asyncio.sleep(0)
            return [waiter.done() for waiter in waiters]

        self.assertEqual(asyncio.run(wait()), [True, False, False])


if __name__ == "__main__":
    unittest.main()
