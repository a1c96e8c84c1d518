"""A full garbage collection does not visit the objects created at the start."""

import gc

from wellhitch.net.collector import startup_objects_frozen


def test_a_full_collection_visits_only_objects_created_since() -> None:
    alive = len(gc.get_objects())
    with startup_objects_frozen():
        made = [[n] for n in range(100)]
        assert 100 <= len(gc.get_objects()) < alive // 10
    assert len(gc.get_objects()) > alive // 2 and len(made) == 100
