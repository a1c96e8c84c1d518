"""The ledger's pure parts: entries, chain, journal, settling, periods, reconciliation."""

import random
from itertools import permutations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wellhitch.lab.explore_ledger import Bounds, explore
from wellhitch.ledger.chain import Chain, ChainId, decode_row, verify
from wellhitch.ledger.entries import (
    Answered,
    Corrected,
    Ended,
    EntriesLost,
    Entry,
    InvalidEntryError,
    NumberKeys,
    Restarted,
    decode,
    encode,
)
from wellhitch.ledger.journal import DialogueFacts, EstablishedDialogue, WrongDiskError, open_journal
from wellhitch.ledger.periods import (
    ABSENCE_TIMEOUT_US,
    CLOCK_MARGIN_US,
    Agreement,
    PeriodRecord,
    Statement,
    next_period,
    period_at,
    period_end,
    previous_period,
)
from wellhitch.ledger.periods import RETRY_INTERVAL_US as CLOSING_RETRY_US
from wellhitch.ledger.reconcile import (
    RETRY_INTERVAL_US,
    Collection,
    CompareRanges,
    Fetch,
    Pull,
    RangeDifferences,
    RangeSummary,
    TokenBucket,
    compare_ranges,
)
from wellhitch.ledger.settle import DISPUTE_THRESHOLD_US, DialogueEvidence, group_by_dialogue
from wellhitch.store.records import Change

SECOND = 1_000_000
DECEMBER = period_end("2026-11")
NAME = ChainId(3, 77)


def answered(side: str = "origin", answer: str = "stands", at: int = DECEMBER, **more: object) -> Answered:
    return Answered(side, 3, 9, "card-lock", 5, answer, at, **more)  # type: ignore[arg-type]


def ended(side: str = "origin", duration: int = 5 * SECOND, ending: str = "released") -> Ended:
    return Ended(side, 3, 9, ending, DECEMBER + duration, duration)


# ---- entries ----


@given(st.binary(max_size=60))
def test_any_bytes_are_an_entry_or_an_invalid_entry_error(data: bytes) -> None:
    try:
        entry = decode(data)
    except InvalidEntryError:
        return
    assert decode(encode(entry)) == entry


def test_called_numbers_are_hashed_under_keys_that_change() -> None:
    keys = NumberKeys({1: b"a" * 32, 2: b"b" * 32})
    number, key = keys.hashed("0800123")
    assert key == 2 and b"0800" not in number and keys.matches("0800123", number, 2)
    old, _ = NumberKeys({1: b"a" * 32}).hashed("0800123")
    assert old != number and keys.matches("0800123", old, 1)
    assert NumberKeys({2: b"b" * 32}).matches("0800123", old, 1) is None  # the key was deleted
    with pytest.raises(ValueError, match="number key 3: expected 32 bytes, got 5"):
        NumberKeys({3: b"short"})


# ---- the chain ----


def a_chain(rows: int = 12) -> list[tuple[int, bytes | None]]:
    chain = Chain(NAME)
    return [
        (n, msgspec.msgpack.encode(chain.append(EntriesLost(n, 0, 0), "2026-12"))) for n in range(1, rows + 1)
    ]


def head(rows: list[tuple[int, bytes | None]]) -> tuple[int, bytes]:
    seq, data = rows[-1]
    assert data
    return seq, decode_row(data).hash(NAME)


def test_an_intact_chain_verifies() -> None:
    rows = a_chain()
    assert list(verify(NAME, rows, head(rows))) == []


@pytest.mark.parametrize(
    ("fault", "seq", "why"),
    [
        ("missing", 5, "missing"),
        ("altered", 6, "does not follow row 5"),
        ("damaged", 5, "damaged on disk"),
        ("garbage", 5, "not a row"),
        ("cut off", 10, "missing to 12"),
        ("rewritten", 12, "the chain was rewritten"),
        ("twice", 5, "stored under this key is row 4"),
        ("another chain's", 1, "does not reach"),
    ],
)
def test_each_fault_of_a_chain_is_detected_and_located(fault: str, seq: int, why: str) -> None:
    rows = a_chain()
    known_head = head(rows)
    if fault == "missing":
        del rows[4]
    elif fault == "altered":
        data = rows[4][1]
        assert data
        row = decode_row(data)
        rows[4] = (
            5,
            msgspec.msgpack.encode(msgspec.structs.replace(row, entry=encode(EntriesLost(99, 0, 0)))),
        )
    elif fault == "damaged":
        rows[4] = (5, None)
    elif fault == "garbage":
        rows[4] = (5, b"\x01\x02")
    elif fault == "cut off":
        rows = rows[:9]
    elif fault == "rewritten":
        chain = Chain(NAME)
        rows = [
            (n, msgspec.msgpack.encode(chain.append(EntriesLost(n + (n > 6), 0, 0), "2026-12")))
            for n in range(1, 13)
        ]
    elif fault == "twice":
        rows[4] = (5, rows[3][1])
    else:
        # Rows of another chain under this one's keys: their hashes do not match this chain's name.
        other = Chain(ChainId(3, 78))
        rows = [
            (n, msgspec.msgpack.encode(other.append(EntriesLost(n, 0, 0), "2026-12"))) for n in range(1, 13)
        ]
        seq, why = 2, "does not follow row 1"
    faults = list(verify(NAME, rows, known_head))
    assert (seq, True) in [(found.seq, why in found.why) for found in faults], [
        str(found) for found in faults
    ]


@given(st.integers(0, 11), st.integers(0, 7), st.data())
def test_any_flipped_bit_in_any_row_is_detected(index: int, bit: int, data: st.DataObject) -> None:
    rows = a_chain()
    known_head = head(rows)
    seq, body = rows[index]
    assert body
    byte = data.draw(st.integers(0, len(body) - 1))
    rows[index] = (seq, body[:byte] + bytes([body[byte] ^ 1 << bit]) + body[byte + 1 :])
    assert list(verify(NAME, rows, known_head))


# ---- the journal ----


def rows_of(changes: list[Change]) -> list[Entry]:
    return [
        decode(decode_row(change.body).entry)
        for change in changes
        if change.bucket == "chain" and change.body
    ]


FACTS = DialogueFacts("origin", 3, 9, "card-lock", 5, "0800123", 1, "north", ("a",), "v1")


def test_a_dialogue_is_two_entries_and_its_duration_is_measured_by_the_loops_clock() -> None:
    journal, new = open_journal(3, None, None, 77, NumberKeys({1: b"k" * 32}))
    assert new
    answer = journal.answered(FACTS, "stands", DECEMBER, 1000)
    # The wall clock was set back by an hour in between; the loop's clock was not.
    end = journal.ended("origin", 3, 9, "released", DECEMBER - 3600 * SECOND, 1000 + 7 * SECOND)
    entries = rows_of(answer + end)
    assert isinstance(entries[0], Answered) and entries[0].tenant == "north" and entries[0].tags == ("a",)
    assert isinstance(entries[1], Ended) and entries[1].duration == 7 * SECOND
    assert journal.ended("origin", 3, 9, "released", DECEMBER, 0) == []  # a second end adds nothing
    assert not journal.established


def test_a_clock_set_back_at_a_periods_end_makes_late_rows_and_changes_no_period() -> None:
    journal, _ = open_journal(3, None, None, 77, NumberKeys({}))
    end = period_end("2026-12")
    journal.answered(FACTS, "pushed_back", end - SECOND, 0)
    stated = journal.statement("2026-12")
    assert (stated.seq, stated.hash) == (1, journal.chain.last_hash)
    late_changes = journal.answered(FACTS, "pushed_back", end - 1800 * SECOND, 0)
    row = decode_row(late_changes[0].body or b"")
    assert (row.period, row.late_for) == ("2027-01", "2026-12")


def test_after_a_crash_established_dialogues_are_cut_as_of_the_last_heartbeat() -> None:
    journal, _ = open_journal(3, None, None, 77, NumberKeys({}))
    journal.answered(FACTS, "stands", DECEMBER, 0)
    identity = journal.heartbeat(DECEMBER + 5 * SECOND)[0].body
    again, new = open_journal(3, identity, (journal.chain.seq, journal.chain.last_hash), 99, NumberKeys({}))
    # A new chain that names the end of the previous one: on an old disk the numbers that follow may be in use.
    assert not new and again.chain.name == ChainId(3, 99) and again.identity.marks == [77, 99]
    entries = rows_of(
        again.resume([EstablishedDialogue("origin", 3, 9, DECEMBER)], 20_000, DECEMBER + 60 * SECOND)
    )
    assert entries == [
        Restarted(DECEMBER + 60 * SECOND, DECEMBER + 5 * SECOND, 20_000, 77, 1, journal.chain.last_hash),
        Ended("origin", 3, 9, "restart", DECEMBER + 5 * SECOND, 5 * SECOND),
    ]
    with pytest.raises(WrongDiskError, match="belongs to call server 3, not 4"):
        open_journal(4, identity, None, 1, NumberKeys({}))


# ---- settling ----

ENTRIES = st.one_of(
    st.builds(
        answered,
        st.sampled_from(["origin", "tandem", "destination"]),
        st.sampled_from(["stands", "stands", "stands", "pushed_back", "gone"]),
        st.integers(DECEMBER, DECEMBER + 3),
    ),
    st.builds(
        ended,
        st.sampled_from(["origin", "tandem", "destination"]),
        st.integers(0, 9).map(lambda n: n * SECOND),
        st.sampled_from(["released", "cut", "restart"]),
    ),
    st.builds(lambda n: Corrected(3, 9, n * SECOND, "ana", "wrong", DECEMBER), st.integers(-5, 5)),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(ENTRIES, max_size=7), st.randoms(use_true_random=False), st.integers(0, 7))
def test_every_end_settles_alike_in_any_order_and_with_any_repetition(
    entries: list[Entry], rng: random.Random, cut: int
) -> None:
    expected = group_by_dialogue(entries).get((3, 9), DialogueEvidence((3, 9))).settled()
    repeated = [*entries, *entries[:cut]]
    rng.shuffle(repeated)
    assert group_by_dialogue(repeated).get((3, 9), DialogueEvidence((3, 9))).settled() == expected
    # Two ends that each know a part and exchange all reach the same result.
    left, right = group_by_dialogue(entries[:cut]), group_by_dialogue(entries[cut:])
    joined = left.get((3, 9), DialogueEvidence((3, 9)))
    joined.join(right.get((3, 9), DialogueEvidence((3, 9))))
    assert joined.settled() == expected and expected.billed >= 0


@pytest.mark.parametrize(
    ("entries", "state", "billed", "dispute"),
    [
        ([answered(), ended()], "billed", 5 * SECOND, ""),
        ([answered(), ended(), answered("destination"), ended("destination", 4 * SECOND)], "billed", 4 * SECOND, ""),
        ([answered(), ended(duration=60 * SECOND), ended("destination", SECOND), answered("destination")], "billed",
         SECOND, "destination 1000000, origin 60000000"),
        ([answered(answer="forfeited"), answered("destination"), ended("destination")], "not_billed", 0,
         "origin forfeited"),
        # A tandem that rejected the first dial, or lost its answer, says nothing about the second one, which was
        # established.
        ([answered(onward_dial=1), ended(), answered("tandem", "pushed_back", dial=0)], "billed", 5 * SECOND, ""),
        ([answered(onward_dial=1), ended(), answered("destination", dial=0),
          Ended("destination", 3, 9, "cut", 0, SECOND, 0),
          answered("destination", dial=1), Ended("destination", 3, 9, "cut", 0, 4 * SECOND, 1)],
         "billed", 4 * SECOND, ""),
        # Through a tandem: its onward dial is the one that the destination knows.
        ([answered(onward_dial=2, tandem=7), ended(), answered("tandem", dial=2, onward_dial=5),
          answered("destination", dial=5),
          Ended("tandem", 3, 9, "released", 0, 4 * SECOND, 2), Ended("destination", 3, 9, "released", 0, 0, 2),
          Ended("destination", 3, 9, "released", 0, 3 * SECOND, 5)], "billed", 3 * SECOND, ""),
        ([answered(onward_dial=2, tandem=7), ended(), Ended("destination", 3, 9, "cut", 0, SECOND, 2)],
         "billed", 5 * SECOND, ""),
        ([answered(onward_dial=2, tandem=7), ended(), answered("tandem", "pushed_back", dial=2)], "billed", 0,
         "origin 5000000, tandem 0"),
        ([answered("destination"), ended("destination")], "orphan", 0, ""),
        ([answered()], "open", 0, ""),
        ([answered(), ended(), answered("destination")], "billed", 5 * SECOND, ""),
        ([answered(), ended(), Corrected(3, 9, -9 * SECOND, "ana", "x", 0)], "billed", 0, ""),
        ([answered(), ended(), ended(duration=3 * SECOND)], "billed", 3 * SECOND, ""),
        ([answered(), ended(), ended(duration=SECOND, ending="restart")], "billed", 5 * SECOND, ""),
        ([answered(), ended(duration=SECOND, ending="restart")], "billed", SECOND, ""),
    ],
)  # fmt: skip
def test_the_settling_rule(entries: list[Entry], state: str, billed: int, dispute: str) -> None:
    for order in permutations(entries):
        result = group_by_dialogue(order)[3, 9].settled()
        assert (result.state, result.billed) == (state, billed) and result.dispute.startswith(dispute)
        assert bool(result.dispute) == bool(dispute)
    assert DISPUTE_THRESHOLD_US > SECOND


# ---- periods ----


def test_periods_have_names_and_ends() -> None:
    assert previous_period("2027-01") == "2026-12" and previous_period("2027-03") == "2027-02"
    assert period_at(DECEMBER) == "2026-12" and period_at(DECEMBER - 1) == "2026-11"
    assert (
        next_period("2026-12") == "2027-01"
        and period_end("2026-12") - period_end("2026-11") == 31 * 86_400 * SECOND
    )
    with pytest.raises(ValueError):
        period_end("2026-13")


def statement(number: int) -> Statement:
    return Statement(number, 1, 5, b"h")


class SimulatedInstances:
    """Instances whose messages are lost, duplicated and delayed at random."""

    def __init__(self, count: int, rng: random.Random, loss: float) -> None:
        self.rng, self.loss = rng, loss
        roster = tuple(range(count))
        self.all = [Agreement(me, roster, PeriodRecord("2026-12")) for me in roster]
        self.sent: list[tuple[int, int, object]] = []
        self.absent: set[int] = set()

    def send(self, me: int, outcome: object) -> None:
        for to, message in outcome.send:  # type: ignore[attr-defined]
            self.sent += [(me, to, message)] * self.rng.choice([1, 1, 2])

    def run(self, turns: int, wall: int) -> None:
        """Runs turns of the retry interval; messages arrive in random order, some in the next turn."""
        for turn in range(turns):
            for instance in self.all:
                if instance.own_number not in self.absent:
                    self.send(instance.own_number, instance.retry(wall + turn * CLOSING_RETRY_US))
            for _ in range(3 * len(self.sent)):
                if not self.sent:
                    break
                sender, to, message = self.sent.pop(self.rng.randrange(len(self.sent)))
                if self.rng.random() >= self.loss and to not in self.absent and sender not in self.absent:
                    self.send(to, self.all[to].receive(sender, message))  # type: ignore[arg-type]


@pytest.mark.parametrize("count", [1, 2, 3, 7])
def test_a_period_closes_with_all_statements_whatever_is_lost(count: int) -> None:
    for seed in range(15):
        instances = SimulatedInstances(count, random.Random(seed), 0.3)
        for instance in instances.all:
            instances.send(instance.own_number, instance.record_own_statement(statement(instance.own_number)))
        instances.run(60 * count, period_end("2026-12") + CLOCK_MARGIN_US + 60 * SECOND)
        assert {instance.record.closed for instance in instances.all} == {
            tuple(statement(n) for n in range(count))
        }
        assert {instance.state for instance in instances.all} == {"closed"}


def test_an_absent_instance_is_left_out_after_the_absence_timeout_and_not_before() -> None:
    instances = SimulatedInstances(3, random.Random(1), 0.2)
    instances.absent = {1}
    for me in (0, 2):
        instances.send(me, instances.all[me].record_own_statement(statement(me)))
    end = period_end("2026-12")
    instances.run(100, end + ABSENCE_TIMEOUT_US - 1000 * SECOND)
    assert [instance.state for instance in instances.all] == ["closing", "open", "closing"]
    instances.run(100, end + ABSENCE_TIMEOUT_US + 60 * SECOND)
    assert instances.all[0].record.closed == (statement(0), statement(2)) == instances.all[2].record.closed
    # It comes back, sends its statement, and learns that the period was closed without it.
    instances.absent = set()
    instances.send(1, instances.all[1].record_own_statement(statement(1)))
    instances.run(20, end + 2 * ABSENCE_TIMEOUT_US)
    assert instances.all[1].record.closed == (statement(0), statement(2))


def test_without_a_majority_nothing_closes() -> None:
    instances = SimulatedInstances(3, random.Random(1), 0.0)
    instances.absent = {1, 2}
    instances.all[0].record_own_statement(statement(0))
    instances.run(100, period_end("2026-12") + 2 * ABSENCE_TIMEOUT_US)
    assert instances.all[0].state == "closing"


def test_no_interleaving_closes_a_period_in_two_ways() -> None:
    found = explore(Bounds(2, 1, 1), 50_000)
    assert found.complete and not found.violation and found.states > 4_000
    assert not explore(Bounds(3, 1, 0, 2), 12_000).violation


def test_the_search_detects_an_agreement_without_a_majority_or_without_earlier_content() -> None:
    class NeedsNoMajority(Agreement):
        @property
        def majority(self) -> int:
            return 1

    assert explore(Bounds(2, 1, 0), 50_000, NeedsNoMajority).violation == "a period closed in two ways"

    class IgnoresEarlierContent(Agreement):
        """Proposes its own content, even if another may have been chosen already."""

        def _promised(self, sender, message):  # type: ignore[no-untyped-def]
            message = msgspec.structs.replace(message, accepted=None, content=())
            return super()._promised(sender, message)

    assert explore(Bounds(2, 1, 0), 400_000, IgnoresEarlierContent).violation == "a period closed in two ways"


# ---- reconciling ----


def items(count: int, seed: int = 1) -> list[tuple[bytes, bytes]]:
    rng = random.Random(seed)
    return [(n.to_bytes(8, "big"), rng.randbytes(16)) for n in range(count)]


def pull_all(mine: Collection, theirs: Collection, rng: random.Random, loss: float) -> tuple[Pull, int, int]:
    """Pulls until nothing is missing; returns the pull, the bytes sent and the rounds."""
    pull, now, size, steps = Pull("t", mine), 0, 0, 0
    in_flight: list[object] = []
    while not pull.done:
        steps += 1
        assert steps < 2000
        for message in pull.next_requests(now):
            size += len(msgspec.msgpack.encode(message))
            if rng.random() < loss:
                continue
            if isinstance(message, CompareRanges):
                in_flight.append(compare_ranges(theirs, message))
            elif isinstance(message, Fetch):
                in_flight += [[(key, theirs.get(key) or b"") for key in message.keys]]
        rng.shuffle(in_flight)
        for _ in range(len(in_flight)):
            answer = in_flight.pop()
            size += len(msgspec.msgpack.encode(answer))
            for _ in range(rng.choice([1, 1, 2])):
                if rng.random() < loss:
                    continue
                if isinstance(answer, RangeDifferences):
                    pull.apply_differences(answer)
                else:
                    for key, digest in answer:  # type: ignore[attr-defined]
                        pull.accept_row(key, digest)
        now += RETRY_INTERVAL_US
    return pull, size, pull.rounds


@settings(max_examples=60, deadline=None)
@given(
    st.sets(st.integers(0, 400)),
    st.sets(st.integers(0, 400)),
    st.integers(0, 99),
    st.sampled_from([0.0, 0.3]),
)
def test_after_a_pull_no_row_of_the_other_end_is_missing(
    mine: set[int], theirs: set[int], seed: int, loss: float
) -> None:
    all_items = items(401)
    a, b = Collection(), Collection()
    order = list(mine)
    random.Random(seed).shuffle(order)
    a.extend(all_items[n] for n in order)
    b.extend(all_items[n] for n in sorted(theirs))
    pull, _, _ = pull_all(a, b, random.Random(seed), loss)
    assert a.keys == [all_items[n][0] for n in sorted(mine | theirs)]
    # Keys that exist only here may have been compared or not; they are never reported as altered, and no other key is
    # reported.
    assert set(pull.conflicts) <= {all_items[n][0] for n in mine - theirs}
    assert set(pull.conflicts.values()) <= {"only here"}


def test_bytes_grow_with_the_differences_and_not_with_the_items() -> None:
    sizes = {}
    for count in (1_000, 16_000):
        for missing in (0, 10):
            a, b = Collection(), Collection()
            all_items = items(count)
            b.extend(all_items)
            missing_items = set(random.Random(3).sample(range(count), missing))
            a.extend(item for n, item in enumerate(all_items) if n not in missing_items)
            _, sizes[count, missing], _ = pull_all(a, b, random.Random(1), 0.0)
    assert sizes[16_000, 0] == sizes[1_000, 0] < 100
    assert sizes[16_000, 10] < 2.5 * sizes[1_000, 10] and sizes[16_000, 10] < 16_000 * 24 * 0.1


def test_an_altered_row_is_reported_as_a_conflict_and_not_replaced() -> None:
    a, b = Collection(), Collection()
    a.extend(items(50))
    b.extend(items(50))
    b.add(items(50)[7][0], b"x" * 16)
    pull, _, _ = pull_all(a, b, random.Random(1), 0.0)
    assert pull.conflicts == {items(50)[7][0]: "differs"} and a.get(items(50)[7][0]) == items(50)[7][1]
    assert not pull.accept_row(b"k", b"d")  # a row that was not requested


def test_two_items_that_swap_their_digests_are_detected() -> None:
    a, b = Collection(), Collection()
    a.extend([(b"a", b"1"), (b"b", b"2")])
    b.extend([(b"a", b"2"), (b"b", b"1")])
    assert a.summarize(b"", b"").sum != b.summarize(b"", b"").sum


def test_the_token_bucket_bounds_the_bytes_of_a_second() -> None:
    bucket, sent = TokenBucket(rate=1000, tokens=0), 0
    for now in range(0, 10 * SECOND, SECOND // 100):
        sent += 300 if bucket.take(300, now) else 0
    assert 9_000 <= sent <= 10_000


@given(st.binary(max_size=3), st.binary(max_size=3), st.integers(0, 40))
def test_any_requested_range_is_answered(low: bytes, high: bytes, count: int) -> None:
    """A range with swapped ends raised while it was answered, which cost the connection to the peer."""
    mine = Collection()
    mine.extend((bytes((n, n)), bytes((n,)) * 16) for n in range(count))
    mine_part = mine.summarize(low, high)
    assert mine_part.count >= 0
    compare_ranges(mine, CompareRanges("x", (RangeSummary(low, high, 7, b"other"),)))
