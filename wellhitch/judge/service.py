"""The service level from the callers' captures: the value of the dialogues established within the target latency and
not cut, as a share of the value requested. Retries of a caller count with its first attempt. Pure; times in us."""

from collections import Counter
from dataclasses import dataclass, field

from wellhitch.trunk import frames
from wellhitch.trunk.capture import Capture, Note

WINDOW_US = 10_000_000  # the service level of the worst 10 s is reported
WARM_UP_US = 1_000_000  # requests of the first second are not counted


@dataclass(slots=True)
class _Request:
    traffic_class: str
    started_at: int
    established_at: int | None = None
    cut: bool = False
    last_answer: str = "unanswered"


@dataclass(slots=True)
class TrafficClassService:
    """Outcomes of the call requests of one traffic class."""

    value: float
    asked: int = 0
    in_time: int = 0
    late: int = 0
    cut: int = 0
    rejected: int = 0
    failed: int = 0
    abandoned: int = 0
    earned_value: float = 0.0

    @property
    def share(self) -> float:
        """Earned value as a share of the value requested."""
        return self.earned_value / (self.value * self.asked) if self.asked and self.value else 0.0


@dataclass(slots=True)
class Service:
    """The service level of a day."""

    by_traffic_class: dict[str, TrafficClassService] = field(default_factory=dict)
    worst_window: float = 1.0
    worst_window_index: int = 0
    setup_times_us: list[int] = field(default_factory=list)

    @property
    def overall(self) -> float:
        """Earned value as a share of the value requested, over all traffic classes."""
        asked = sum(entry.value * entry.asked for entry in self.by_traffic_class.values())
        return sum(entry.earned_value for entry in self.by_traffic_class.values()) / asked if asked else 0.0

    @property
    def worst_traffic_class(self) -> float:
        """The share of the traffic class served worst."""
        return min((entry.share for entry in self.by_traffic_class.values() if entry.asked), default=0.0)


def service(captures: list[Capture]) -> Service:
    """Compute the service level of all callers together."""
    world = next(capture for capture in captures if capture.party == "world")
    classes = {entry["name"]: entry for entry in world.facts["use_cases"]}
    result = Service({name: TrafficClassService(entry["payoff"]) for name, entry in classes.items()})
    requests: list[_Request] = []
    for capture in captures:
        if capture.party == "callers":
            requests += _requests(capture, result)
    if not requests:
        return result
    start = min(request.started_at for request in requests) + WARM_UP_US
    windows: Counter[int] = Counter()
    earned: Counter[int] = Counter()
    for request in requests:
        if request.started_at < start:
            continue
        traffic_class, outcomes = (
            classes[request.traffic_class],
            result.by_traffic_class[request.traffic_class],
        )
        earned_value = _count(request, traffic_class, outcomes)
        index = (request.started_at - start) // WINDOW_US
        windows[index] += round(1000 * traffic_class["payoff"])
        earned[index] += round(1000 * earned_value)
    # A last window with few dialogues is not representative.
    full = [index for index in windows if windows[index] * 3 > max(windows.values())]
    result.worst_window_index = min(full, key=lambda index: earned[index] / windows[index])
    result.worst_window = earned[result.worst_window_index] / windows[result.worst_window_index]
    return result


def _count(request: _Request, traffic_class: dict[str, float], outcomes: TrafficClassService) -> float:
    """Count one request and return its earned value."""
    outcomes.asked += 1
    earned_value = 0.0
    if request.established_at is None:
        name = {"pushed_back": "rejected", "forfeited": "failed"}.get(request.last_answer, "abandoned")
        setattr(outcomes, name, getattr(outcomes, name) + 1)
    elif request.cut:
        outcomes.cut += 1
    elif request.established_at - request.started_at <= traffic_class["agreed_time"]:
        outcomes.in_time += 1
        earned_value = traffic_class["payoff"]
    else:
        outcomes.late += 1
        earned_value = traffic_class["payoff"] * traffic_class["late_share"]
    outcomes.earned_value += earned_value
    return earned_value


def _requests(capture: Capture, result: Service) -> list[_Request]:
    requests: dict[int, _Request] = {}
    by_call: dict[int, _Request] = {}
    for record in capture.records:
        if isinstance(record, Note):
            if record.kind == "try":
                facts = record.facts
                request = requests.setdefault(facts["case"], _Request(facts["use_case"], facts["began"]))
                by_call[facts["id"]] = request
                request.last_answer = "unanswered"
            elif record.kind == "down":
                for request in by_call.values():
                    request.cut = request.cut or request.established_at is not None
                by_call.clear()
        elif isinstance(record.frame, frames.Final):
            found = by_call.get(record.frame.id)
            if found is None:
                continue
            if record.frame.answer == "stands":
                if found.established_at is None:
                    found.established_at = record.time_us
                    result.setup_times_us.append(record.time_us - found.started_at)
            else:
                found.last_answer = record.frame.answer
        elif isinstance(record.frame, frames.Ended):
            found = by_call.pop(record.frame.id, None)
            if found:
                found.cut = True
        elif isinstance(record.frame, frames.HangUp):
            by_call.pop(record.frame.id, None)
    return list(requests.values())
