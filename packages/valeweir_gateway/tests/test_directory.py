import unittest

from valeweir_gateway.view.directory import Directory, Instance, make_incarnation_id


def make_instance(name="i", ready=True, started_at=None, slots=8):
    life = make_incarnation_id(name, started_at)
    return Instance(life, "llm", "10.0.0.1:1", "a", slots, ready, 0.0, name)


class DirectoryCase(unittest.TestCase):
    def setUp(self):
        self.directory = Directory()
        self.directory.put(make_instance())

    def get_ready(self):
        return [row.id for row in self.directory.get_ready("llm")]


class TestLeavingIncarnations(DirectoryCase):
    def test_leaving_instance_is_not_ready(self):
        self.assertTrue(self.directory.mark_leaving("i", "answer"))
        self.assertFalse(self.directory.is_ready("i"))
        self.assertTrue(self.directory.is_leaving("i"))
        self.assertEqual(self.get_ready(), [])
        self.assertEqual(self.directory.get_all_ready(), [])

    def test_second_mark_returns_false(self):
        self.assertTrue(self.directory.mark_leaving("i", "peer"))
        version = self.directory.leaving_version
        self.assertFalse(self.directory.mark_leaving("i", "answer"))
        self.assertEqual(self.directory.leaving_version, version)
        self.assertEqual(self.directory.get_unrecorded_leaving(), {"i": "peer"})

    def test_mark_of_recorded_leaving_returns_false(self):
        self.directory.put(make_instance(ready=False))
        self.assertFalse(self.directory.mark_leaving("i", "answer"))
        self.assertEqual(self.directory.get_unrecorded_leaving(), {})

    def test_ready_record_does_not_undo_leaving(self):
        self.directory.mark_leaving("i", "answer")
        self.directory.put(make_instance(slots=9))
        self.assertFalse(self.directory.is_ready("i"))

    def test_marked_before_its_record_arrives(self):
        self.directory.mark_leaving("j@5", "answer")
        self.directory.put(make_instance("j", started_at=5))
        self.assertFalse(self.directory.is_ready("j@5"))

    def test_removed_incarnation_stays_leaving(self):
        life = make_instance("j", started_at=5)
        self.directory.put(life)
        self.directory.mark_leaving(life.id, "answer")
        self.directory.remove(life.id)
        self.directory.put(life)
        self.assertFalse(self.directory.is_ready(life.id))

    def test_new_incarnation_is_ready(self):
        self.directory.put(make_instance("j", started_at=5))
        self.directory.mark_leaving("j@5", "answer")
        self.directory.put(make_instance("j", started_at=6))
        self.assertTrue(self.directory.is_ready("j@6"))

    def test_lapsed_record_that_returns_stays_leaving(self):
        self.directory.mark_leaving("i", "answer")
        self.directory.remove("i")
        self.directory.put(make_instance())
        self.assertFalse(self.directory.is_ready("i"))

    def test_leaving_incarnations_are_bounded(self):
        for number in range(3_000):
            self.directory.mark_leaving(f"gone-{number}", "answer")
        self.assertLessEqual(len(self.directory._leaving_sources), 1_000)
