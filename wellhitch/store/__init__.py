"""Records that survive crashes: shelves of keys and bodies in one file, each record with a checksum of the project's
own, committed in groups off the decision path. `docs/design/store.md` has the format.

    records.py   bytes of a record, its checksum, upgrades     pure
    writer.py    what waits for the disk, and when it goes     pure
    maintenance.py checkpoint, compaction, scrub, snapshot       pure: which next, within a budget of pages
    engine.py    SQLite, through apsw                          the disk
    service.py   loop, disk and the three above
"""
