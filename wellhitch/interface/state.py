"""State records of the decision module, by lifetime: a dial, a dialogue, a called number, an office, the call server.
Times are whole microseconds of the clock that comes with the events."""

from __future__ import annotations

from dataclasses import dataclass, field

from wellhitch.interface.events import OfficeState
from wellhitch.interface.facts import ColdStartRule, Permissions, ReleaseRule, ServerTopology, TrafficClass


@dataclass(slots=True, eq=False)
class Dial:
    """One dial. `setup_delay` is the time to its answer, or the time that it waited in vain."""

    dialogue: Dialogue
    office: Office
    sent_at: int
    direct: bool
    setup_delay: int | None = None
    answered: bool = False


@dataclass(slots=True, eq=False)
class Dialogue:
    """One dialogue, from its arrival to its final answer or its end. `may_have_run_at`: when the first dial that may
    have run the dialogue was sent. `not_before`: earliest time of the next dial."""

    id: int
    traffic_class: TrafficClass
    destination: int
    called_number: CalledNumber
    width: int
    first_try_at: int
    expires_at: int
    advised_tandem: int | None
    transit: bool
    random_draw: float
    value_factor: float = 1.0
    dials: list[Dial] = field(default_factory=list)
    excluded_offices: list[Office] = field(default_factory=list)
    pending_dial: Dial | None = None
    may_have_run_at: int | None = None
    not_before: int = 0
    established: bool = False


@dataclass(slots=True, eq=False)
class CalledNumber:
    """A number called within the last minute. While its lines are busy, `pause` and `blocked_until` hold dialogues
    back."""

    pause: int = 0
    blocked_until: int = 0
    last_called_at: int = 0
    first_try_at: int | None = None


@dataclass(slots=True, eq=False)
class Office:
    """What this call server knows of one office. Prices, counts and delays are those of its processor. By
    destination: `proven_destinations` were reached through it, `reported_spare` is what it reported as free, and
    `blocked_destinations` are not tried through it until the given time."""

    id: str
    number: int
    state: OfficeState
    started_at: int | None
    free_circuits: int = 0
    group_size: int | None = None
    price: float = 0.0
    full_count: int = 0
    # Faults in a row since the last answered dial; 1 at the start, because a new office has not answered any dial.
    consecutive_faults: int = 1
    recent_dials: list[Dial] = field(default_factory=list)
    utilisation: float | None = None
    queue_wait: int | None = None
    dials_in_interval: int = 0
    usual_rate: float = 0.0
    initial_budget: float = 0.0
    budget: float = 0.0
    budget_updated_at: int = 0
    proven_destinations: set[int] = field(default_factory=set)
    reported_spare: list[int] = field(default_factory=list)
    reported_at: int = 0
    blocked_destinations: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Exchange:
    """Everything that one call server knows, from its start to its stop. `direct_share`: share of the other offices
    to which a trunk group leads."""

    rng_state: int = 0
    traffic_classes: dict[str, TrafficClass] = field(default_factory=dict)
    topology: ServerTopology = ServerTopology(None, 0, False, 0)
    permissions: Permissions = Permissions(0, False, False, False, 0, False)
    release: ReleaseRule = ReleaseRule(0, 0)
    cold_start: ColdStartRule = ColdStartRule(0.0, 0, 0.0, 0)
    offices: dict[str, Office] = field(default_factory=dict)
    by_number: dict[int, Office] = field(default_factory=dict)
    called_numbers: dict[str, CalledNumber] = field(default_factory=dict)
    dialogues: dict[int, Dialogue] = field(default_factory=dict)
    own_price: float = 0.0
    own_full_count: int = 0
    recent_dials: list[Dial] = field(default_factory=list)
    usual_delay: int = 0
    unanswered_dials: list[Dial] = field(default_factory=list)
    resubscribe: bool = False
    next_peer_message_at: int = 0
    direct_share: float = 1.0
    delay_bound: int = 0
    min_value: float = 0.0
    max_value: float = 0.0
