"""Settles the five rules from captures. Pure: captures in, a verdict out. Times are whole microseconds.

Evidence and its limits. The parties of one day share one clock. A frame is on the way for `way` us at most (told
with the captures), and two ways differ by `spread` at most; each rule says how it allows for that.
What happened to a call server's process (killed, paused) is told by the day's own capture, `world`.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from wellhitch.trunk import frames
from wellhitch.trunk.capture import BadCapture, Capture, CapturedFrame, Note


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule: which, when, who, and what was seen."""

    rule: int
    t: int
    server: int
    text: str


@dataclass(slots=True)
class Verdict:
    """All breaks, and how much each rule had to look at."""

    breaks: list[Violation] = field(default_factory=list)
    seen: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """What the rules go by, from the first lines of the captures."""

    drain_grace: int
    release_wait: int
    cold_multiple: float
    cold_window: int
    way: int
    spread: int


COLD_SLACK = 2.0  # set-ups beyond the budget that chance alone may bring together at once


@dataclass(slots=True)
class _Outages:
    """When each call server was down or paused: what it held then is not its duty."""

    spans: dict[int, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))

    def touches(self, server: int, since: int, until: int) -> bool:
        """Whether an outage of the server overlaps a span of time."""
        return any(begin <= until and end >= since for begin, end in self.spans.get(server, ()))


def judge(captures: list[Capture]) -> Verdict:
    """The verdict. Raises BadCapture where the evidence is not enough to judge by."""
    by_party: dict[str, list[Capture]] = defaultdict(list)
    for capture in captures:
        by_party[capture.party].append(capture)
    for party in ("world", "office", "callers", "register"):
        if not by_party[party]:
            raise BadCapture(f"no capture of a party {party!r}")
    world = by_party["world"][0]
    figures = _figures(world)
    outages = _outages(world)
    verdict = Verdict()
    for capture in by_party["callers"]:
        _one_answer(capture, figures, outages, verdict)
    for capture in by_party["office"]:
        _one_answer_in_transit(capture, figures, outages, verdict)
        _cold(capture, figures, verdict)
    _dials(world, by_party["office"], figures, verdict)
    _drains(by_party["register"], by_party["office"], figures, outages, verdict)
    if not verdict.seen["dialogues"]:
        raise BadCapture("no dialogue in any capture: nothing to judge")
    verdict.breaks.sort(key=lambda one: (one.t, one.rule, one.server, one.text))
    return verdict


def _figures(world: Capture) -> RuleParameters:
    try:
        return RuleParameters(**{name: world.facts[name] for name in RuleParameters.__dataclass_fields__})
    except KeyError as missing:
        raise BadCapture(f"{world.name}: first line lacks {missing}") from None


def _outages(world: Capture) -> _Outages:
    out = _Outages()
    began: dict[int, int] = {}
    last = 0
    for line in world.records:
        last = max(last, line.time_us)
        if not isinstance(line, Note) or "server" not in line.facts:
            continue
        server = line.facts["server"]
        if line.kind in ("server_killed", "server_paused"):
            began.setdefault(server, line.time_us)
        elif line.kind in ("server_started", "server_resumed") and server in began:
            out.spans[server].append((began.pop(server), line.time_us))
    for server, t in began.items():
        out.spans[server].append((t, 1 << 62))
    return out


# ---- rule 1 ----


@dataclass(slots=True)
class _Owed:
    t: int
    left: int
    link: int
    answered: int | None = None
    answer: str = ""
    over: int | None = None


def _one_answer(capture: Capture, figures: RuleParameters, outages: _Outages, verdict: Verdict) -> None:
    """Rule 1 at the callers' end: each Call gets one Final within `left`; after it only the end of one that
    stood. A caller that hung up, or lost its link, is owed nothing; a Final that crossed the Leave is none too
    many for twice the longest way."""
    server = int(capture.facts["number"])
    open_calls: dict[tuple[int, int], _Owed] = {}
    last = 0

    def broken(t: int, text: str) -> None:
        verdict.breaks.append(Violation(1, t, server, text))

    def missing(call_id: int, owed: _Owed, now: int) -> None:
        due = owed.t + owed.left
        if owed.answered is None and now >= due and not outages.touches(server, owed.t, due):
            broken(due, f"call {call_id}: no answer within its {owed.left} us")

    for line in capture.records:
        last = max(last, line.time_us)
        if isinstance(line, Note):
            if line.kind == "down":
                for key, owed in list(open_calls.items()):
                    if key[0] == line.facts["link"]:
                        if owed.over is None:
                            missing(key[1], owed, line.time_us)
                        del open_calls[key]
            continue
        frame = line.frame
        key = (line.connection, getattr(frame, "id", -1))
        if isinstance(frame, frames.Call):
            verdict.seen["dialogues"] += 1
            open_calls[key] = _Owed(line.time_us, frame.left, line.connection)
        elif isinstance(frame, frames.HangUp):
            left = open_calls.get(key)
            if left and left.over is None:
                missing(frame.id, left, line.time_us)
                left.over = line.time_us
        elif isinstance(frame, frames.Final):
            owed_now = open_calls.get(key)
            if owed_now is None:
                broken(line.time_us, f"call {frame.id}: a final answer to no call of this link")
            else:
                _final(owed_now, line, frame, figures, outages, server, broken)
        elif isinstance(frame, frames.Ended):
            stood = open_calls.get(key)
            if stood is None or stood.answer != "stands":
                broken(line.time_us, f"call {frame.id}: told of its end, and never stood")
    for (_, call_id), owed in open_calls.items():
        if owed.over is None:
            missing(call_id, owed, last)


def _final(
    owed: _Owed,
    line: CapturedFrame,
    frame: frames.Final,
    figures: RuleParameters,
    outages: _Outages,
    server: int,
    broken: Callable[[int, str], None],
) -> None:
    if owed.answered is not None:
        broken(line.time_us, f"call {frame.id}: a second answer, {frame.answer} after {owed.answer}")
    elif owed.over is not None and line.time_us > owed.over + 2 * figures.way:
        if not outages.touches(server, owed.over, line.time_us):
            broken(
                line.time_us,
                f"call {frame.id}: {frame.answer} {line.time_us - owed.over} us after the caller left",
            )
    elif (
        owed.over is None
        and line.time_us > owed.t + owed.left
        and not outages.touches(server, owed.t, line.time_us)
    ):
        broken(
            line.time_us,
            f"call {frame.id}: {frame.answer} {line.time_us - owed.t - owed.left} us after its time was up",
        )
    owed.answered, owed.answer = line.time_us, frame.answer


def _one_answer_in_transit(
    capture: Capture, figures: RuleParameters, outages: _Outages, verdict: Verdict
) -> None:
    """Rule 1 for dialogues in transit, at the tandem's office: each Setup handed to the call server gets one
    Answer or PushBack within `left`, unless it was called off or the link was lost."""
    server = int(capture.facts["number"])
    handed: dict[tuple[int, int], _Owed] = {}
    last = 0

    unread = _unread(capture, figures.way)

    def broken(t: int, text: str) -> None:
        verdict.breaks.append(Violation(1, t, server, f"{capture.name}: {text}"))

    def missing(ref: int, owed: _Owed, now: int) -> None:
        due = (
            owed.t + owed.left + 2 * figures.way
        )  # the call server has it later by a way, and answers by one
        if any(begin <= due and end >= owed.t for begin, end in unread):
            return  # an answer may lie unread
        if owed.answered is None and now > due and not outages.touches(server, owed.t, due):
            broken(due, f"transit {ref}: no answer within its {owed.left} us")

    for line in capture.records:
        last = max(last, line.time_us)
        if isinstance(line, Note):
            if line.kind == "down":
                for key, owed in list(handed.items()):
                    if key[0] == line.facts["link"]:
                        if owed.over is None:
                            missing(key[1], owed, line.time_us)
                        del handed[key]
            continue
        frame = line.frame
        key = (line.connection, getattr(frame, "dial_ref", -1))
        if line.direction == "out":
            if isinstance(frame, frames.Setup):
                verdict.seen["transits"] += 1
                handed[key] = _Owed(line.time_us, frame.left, line.connection)
            elif isinstance(frame, (frames.Cancel, frames.Release)):
                off = handed.get(key)
                if off and off.over is None:
                    missing(frame.dial_ref, off, line.time_us)
                    off.over = line.time_us
        elif isinstance(frame, (frames.Answer, frames.Reject)):
            owed_now = handed.get(key)
            name = str(frame.__struct_config__.tag)
            if owed_now is None:
                broken(line.time_us, f"transit {frame.dial_ref}: {name} to nothing handed over")
            elif owed_now.answered is not None:
                broken(
                    line.time_us, f"transit {frame.dial_ref}: a second answer, {name} after {owed_now.answer}"
                )
            elif (
                owed_now.over is not None
                and _earliest(unread, line.time_us) > owed_now.over + 2 * figures.way
                and not outages.touches(server, owed_now.over, line.time_us)
            ):
                broken(line.time_us, f"transit {frame.dial_ref}: {name} after it was called off")
            if owed_now is not None:
                owed_now.answered, owed_now.answer = line.time_us, name
    for (_, ref), owed in handed.items():
        if owed.over is None:
            missing(ref, owed, last)


# ---- rules 2 and 5 ----


def _unread(capture: Capture, way: int) -> list[tuple[int, int]]:
    """Spans in which a party read nothing, each with a way more: what is read at their end was sent within them."""
    out: list[tuple[int, int]] = []
    began: int | None = None
    for line in capture.records:
        if isinstance(line, Note) and line.kind == "reads_nothing":
            began = line.time_us if began is None else began
        elif isinstance(line, Note) and line.kind in ("reads_on", "stopped") and began is not None:
            out.append((began, line.time_us + way))
            began = None
    if began is not None:
        out.append((began, 1 << 62))
    return out


def _silences(world: Capture, way: int) -> dict[tuple[int, str], list[tuple[int, int]]]:
    """Spans in which bytes between a call server and an office did not arrive, by server's number and office's name;
    they came at the end of it."""
    out: dict[tuple[int, str], list[tuple[int, int]]] = defaultdict(list)
    began: dict[tuple[int, str], int] = {}
    for line in world.records:
        if not isinstance(line, Note) or line.kind not in ("silent", "silent_over"):
            continue
        key = (int(line.facts["here"].rpartition("-")[2]), str(line.facts["there"]))
        if line.kind == "silent":
            began.setdefault(key, line.time_us)
        elif key in began:
            out[key].append((began.pop(key), line.time_us + 2 * way))
    for key, t in began.items():
        out[key].append((t, 1 << 62))
    return out


def _earliest(unread: list[tuple[int, int]], t: int) -> int:
    """When a frame read at `t` may have come, at the earliest."""
    return next((begin for begin, end in unread if begin <= t <= end), t)


HALF_OPEN = 1_500_000  # us; a link silent for one heartbeat and half another before its end


@dataclass(slots=True)
class _Dial:
    """One dial as its office saw it: `gone` when the sender can no longer take it for out."""

    sender: int
    t: int
    office: str
    number: int
    earliest: int  # it may have come so early, where it was read or arrived late
    gone: int | None = None
    how: str = ""
    stood: bool = False


def _office_dials(
    capture: Capture, way: int, silences: dict[tuple[int, str], list[tuple[int, int]]]
) -> Iterator[tuple[tuple[int, int, int], _Dial]]:
    """All set-ups that reached an office, each with its end: (sender, origin, dialogue) -> dial."""
    out: dict[tuple[int, int], _Dial] = {}
    unread = _unread(capture, way)
    for line in capture.records:
        if isinstance(line, Note):
            if line.kind == "down":
                heard = line.facts.get("heard", line.time_us)
                late = unread + silences.get((line.facts["number"], capture.name), [])
                half_open = line.time_us - heard > HALF_OPEN
                for key in [key for key in out if key[0] == line.facts["link"]]:
                    # A half-open link was lost to its sender at a time that this end cannot know, and no
                    # sooner than it was last heard here.
                    _gone(
                        out.pop(key),
                        max(heard, 0) if half_open else _earliest(late, line.time_us),
                        "lost" if half_open else "reset",
                    )
            continue
        frame = line.frame
        key = (line.connection, getattr(frame, "dial_ref", -1))
        late = unread + silences.get((line.number, capture.name), [])
        if line.direction == "in" and isinstance(frame, frames.Setup):
            dial = out[key] = _Dial(
                line.number, line.time_us, capture.name, frame.dial, _earliest(late, line.time_us)
            )
            yield (line.number, frame.origin, frame.dialogue), dial
        elif line.direction == "in" and isinstance(frame, (frames.Cancel, frames.Release)) and key in out:
            how = "called off" if isinstance(frame, frames.Cancel) else "released"
            _gone(out.pop(key), _earliest(late, line.time_us), how)
        elif line.direction == "out" and isinstance(frame, (frames.Reject, frames.Cut)) and key in out:
            how = "pushed back" if isinstance(frame, frames.Reject) else "reset"
            # Where the Setup came late, so may a Cancel that was sent long before: it stands behind in the same read.
            _gone(out.pop(key), _earliest(late, line.time_us), how)
        elif line.direction == "out" and isinstance(frame, frames.Answer) and key in out:
            out[key].stood = True


def _gone(dial: _Dial, t: int, how: str) -> None:
    if dial.gone is None:
        dial.gone, dial.how = t, how


def _dials(world: Capture, offices: list[Capture], figures: RuleParameters, verdict: Verdict) -> None:
    """Rule 2: of one dialogue, no dial reaches an office while an earlier one of the same sender is out.
    Rule 5: none within the release wait of one that was called off or reset. The sender's ways to two offices
    differ by `spread` at most, and so much is allowed."""
    dialled: dict[tuple[int, int, int], list[_Dial]] = defaultdict(list)
    silences = _silences(world, figures.way)
    for capture in offices:
        for whose, dial in _office_dials(capture, figures.way, silences):
            dialled[whose].append(dial)
    for (sender, origin, dialogue), dials in dialled.items():
        dials.sort(key=lambda dial: (dial.t, dial.number))
        verdict.seen["dials"] += len(dials)
        name = f"dialogue {origin}.{dialogue}"
        for before, after in zip(dials, dials[1:], strict=False):
            # Of a dial that was read late it is not known when it came, nor whether before the other: what is held
            # against a call server must be so whenever it came.
            late = after.earliest < after.t
            surely_out = not late or after.gone is None or after.gone > after.t
            if (before.gone is None or before.gone > after.t + figures.spread) and surely_out:
                text = (
                    f"{name}: dial {after.number} at {after.office} while {before.number}"
                    f" at {before.office} is out"
                )
                verdict.breaks.append(Violation(2, after.t, sender, text))
            elif (
                before.gone is not None
                and before.how in ("called off", "reset")
                and not (late and after.earliest < before.gone)
            ):
                waited = after.t - before.gone
                if waited < figures.release_wait - figures.spread:
                    text = (
                        f"{name}: dial {after.number} at {after.office} {waited} us after {before.number} at"
                        f" {before.office} was {before.how}; the wait is {figures.release_wait}"
                    )
                    verdict.breaks.append(Violation(5, after.t, sender, text))


# ---- rule 3 ----


def _drains(
    registers: list[Capture],
    offices: list[Capture],
    figures: RuleParameters,
    outages: _Outages,
    verdict: Verdict,
) -> None:
    """Rule 3: no set-up of a call server reaches an office later than the grace, and a way, after that call
    server was told that it drains or is gone."""
    told: dict[tuple[int, str], list[tuple[int, bool]]] = defaultdict(list)
    for capture in registers:
        known: dict[tuple[int, str], bool] = {}
        for line in capture.records:
            if (
                isinstance(line, Note)
                or not isinstance(line.frame, frames.OfficeList)
                or line.direction != "out"
            ):
                continue
            lines = line.frame.entries
            named = {one.office: one.state == "ready" for one in lines}
            if line.frame.kind == "whole":
                named.update(
                    {office: False for who, office in known if who == line.number and office not in named}
                )
            for office, ready in named.items():
                known[line.number, office] = ready
                told[line.number, office].append((line.time_us, ready))
    for capture in offices:
        for line in capture.records:
            if isinstance(line, Note) or line.direction != "in" or not isinstance(line.frame, frames.Setup):
                continue
            history = told.get((line.number, capture.name), [])
            at = bisect_right(history, (line.time_us, True)) - 1
            if at < 0 or history[at][1]:
                continue
            while at > 0 and not history[at - 1][1]:
                at -= 1  # first told of it here
            since = history[at][0]
            verdict.seen["setups_after_drain"] += 1
            late = line.time_us - since - figures.drain_grace - 2 * figures.way
            if late > 0 and not outages.touches(line.number, since, line.time_us):
                text = f"a set-up reached {capture.name} {line.time_us - since} us after it was told that it drains"
                verdict.breaks.append(Violation(3, line.time_us, line.number, text))


# ---- rule 4 ----


def _cold(capture: Capture, figures: RuleParameters, verdict: Verdict) -> None:
    """Rule 4: while an office is cold, the set-ups that reach it within any window stay under multiple x its
    capacity then x the window; and it never falls over."""
    started, warm_after = capture.facts.get("started"), capture.facts.get("warm_after", 0)
    number = int(capture.facts["number"])
    window: list[tuple[int, int]] = []
    first = 0
    reported = False
    for line in capture.records:
        if isinstance(line, Note):
            if line.kind == "fell_over":
                verdict.breaks.append(Violation(4, line.time_us, -1, f"{capture.name} fell over"))
            continue
        if started is None or line.direction != "in" or not isinstance(line.frame, frames.Setup):
            continue
        age = line.time_us - int(started)
        if age >= warm_after or line.number == number:
            continue
        verdict.seen["cold_setups"] += 1
        share = capture.facts["cold_share"] + (1 - capture.facts["cold_share"]) * max(0, age) / warm_after
        window.append((line.time_us, line.number))
        while window[first][0] <= line.time_us - figures.cold_window:
            first += 1
        allowed = figures.cold_multiple * share * figures.cold_window / capture.facts["setup_us"] + COLD_SLACK
        if len(window) - first > allowed and not reported:
            reported = True
            senders = ", ".join(str(who) for who in sorted({who for _, who in window[first:]}))
            got = len(window) - first
            text = f"{capture.name}: {got} set-ups in a window that allows {allowed:.1f}, from {senders}"
            verdict.breaks.append(Violation(4, line.time_us, -1, text))
