"""What each tenant used, counted the same by every call server. `docs/design/ledger.md`.

entries.py     what happened to a dialogue as one call server saw it; called numbers only as keyed hashes
chain.py       the entries of one instance, each bound to the one before by its hash
journal.py     makes entries of what the server sees; restarts, gaps, clocks that go back
settle.py      one figure a dialogue from what all ends saw, in any order
periods.py     open, closing, closed: agreed by a majority of the instances
rating.py      tariffs, whole-number money, sums that add up
export.py      files with sequence and MAC; each entry booked once
reconcile.py   what another instance has and this one lacks
"""
