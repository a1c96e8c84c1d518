"""Crash-safe records: buckets of keys and bodies in one file, each record with its own checksum, committed in groups
off the decision path. `docs/design/store.md` describes the format.

    records.py       bytes of a record, its checksum, upgrades                       pure
    writer.py        group commit: what waits for the disk and when it is written    pure
    maintenance.py   checkpoint, compaction, scrub, snapshot within a page budget    pure
    engine.py        SQLite, through apsw                                            blocks on the disk
    system.py        the real disk: a folder, two threads, locks                     blocks on the disk
    files.py         files provided by users or other programs                       blocks on the disk
    service.py       connects the event loop, the disk and the above
"""
