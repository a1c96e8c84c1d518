"""Metering and settlement: what each tenant used, counted alike by every call server. See `docs/design/ledger.md`.

entries.py     what happened to a dialogue as one call server saw it; called numbers only as keyed hashes
chain.py       the entries of one instance as a hash chain
journal.py     makes entries from the server's events; restarts, gaps, clocks set back
settle.py      one duration per dialogue from what all ends saw, in any order
periods.py     open, closing, closed: agreed by a majority of the instances
closing.py     settles the rows known up to a closed period
rating.py      tariffs, whole-number money, sums that add up
export.py      files with sequence and MAC; each entry booked once
outbox.py      folders through which files and receipts are exchanged with the accounting side
reconcile.py   finds the rows that another instance has and this one lacks
service.py     connects all of these to the event loop, the store and the other instances
reader.py      reads a ledger from its disk for the command line
"""
