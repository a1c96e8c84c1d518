"""Converts a day file of the operators' bench to a day file of this program. Pure: it takes and returns plain values.

Everything that is converted keeps its meaning. Each key that is not converted is reported with a reason, and so is each
unknown key; nothing is dropped silently. docs/design/call-server.md describes the differences between the two formats.
"""

from collections import defaultdict
from typing import Any

from wellhitch.settings.checked import InvalidSettings

JsonObject = dict[str, Any]

NOT_CARRIED = {
    "noise": "a random draw of the bench; here the random draws depend on the seed",
    "tick": "call servers act on each event, not at ticks",
    "epoch": "clocks start at arbitrary values",
    "entry": "callers of an exchange call that exchange's call server",
    "front_notice": "there is no front tier",
    "tenants": "tenants are not converted",
    "kind": "a descriptive label",
    "site": "a descriptive label",
    "family": "only the family `trunks` has exchanges",
    "prices": "deductions belong to the scoring of the bench",
    "goal": "shown with the result, not part of the day",
    "genes": "describes how the bench drew the day",
    "unlock": "describes how the bench drew the day",
    "wire": "the call server has its own protocol",
    "v": "the version of the format",
}
"""Top-level keys of a bench day that are not converted, with the reason."""

CONVERTED_KEYS = {
    "length", "tail", "zones", "net", "traffic", "clients", "discovery", "allow", "drain_grace", "fall_multiple",
    "fall_for", "classes", "tiers", "servers", "balancers", "troubles", "fam",
}  # fmt: skip
FAM_CONVERTED_KEYS = {
    "advice", "cancel_drops", "capacity", "drift", "drift_cv", "far", "finish_first", "follow", "hold", "hot_lines",
    "look", "n", "peer_work", "pull", "queue", "reject", "release", "size", "tells_wait", "width",
}  # fmt: skip
FAM_NOT_CARRIED = {
    "class_cells": "pools",
    "erl": "a plan of the bench, already contained in sizes and traffic",
    "hot_redials": "callers of one number redial like all others",
    "pools": "checked: only meshes are converted",
    "repeat": "no set-up is retransmitted",
    "resend": "no set-up is retransmitted",
    "second_hold": "pools",
    "tandem_price": "deductions belong to the scoring of the bench",
    "told": "group counts are reported every 50 ms",
}


IDEMPOTENT = "every use case may be dialled again; no set-up is discarded as a duplicate"
PERSISTENT_CONNECTIONS = "connections are persistent; a set-up opens none"
SINGLE_QUEUE = "a processor has one queue"
PARTS: dict[str, tuple[set[str], JsonObject]] = {
    "net": ({"same", "cross", "jitter"}, {"client": "callers are 20 us from their call server"}),
    "traffic": (
        {"load", "shape", "zone_share", "burst_cv", "burst_ms"},
        {
            "hint_cv": "there are no hints of the work",
            "keys": "each dialogue calls a different number",
            "key_zipf": "each dialogue calls a different number",
            "over_share_worth": "tenants are not converted",
            "worth_by_work": "the value counts by dialogue",
        },
    ),
    "clients": (
        {
            "retries",
            "try_share",
            "backoff",
            "backoff_us",
            "honour",
            "max_retry_after",
            "impatient",
            "marks_retry",
        },
        {},
    ),
    "discovery": (
        {"ask", "notice", "silent_notice", "add", "spread"},
        {
            "period": "the discovery server sends each change separately",
            "lines_per_s": "the discovery server has unlimited capacity",
            "call_lines": "the discovery server has unlimited capacity",
            "overbook": "the discovery server has unlimited capacity",
            "timeout": "the discovery server pushes; there are no requests",
        },
    ),
    "allow": (
        {"max_attempts", "cancel", "probes", "peers", "retry_after", "max_open"},
        {
            "second_copies": "rule 2 forbids them",
            "cpu_us_per_s": "belongs to the scoring of the bench",
            "cpu_us_per_request": "belongs to the scoring of the bench",
            "peer_delay": "peer messages are sent over connections with the delays of `net`",
        },
    ),
    "classes": (
        {"name", "share", "work", "aim", "deadline", "worth", "late_worth", "attempt_noise"},
        {
            "cv": "work varies by attempt_noise only",
            "dist": "work varies by attempt_noise only",
            "effect": IDEMPOTENT,
            "group": IDEMPOTENT,
            "window": IDEMPOTENT,
            "write": IDEMPOTENT,
            "io": "there is no work other than the processor's",
            "stream": "every dialogue holds its circuits until it ends",
        },
    ),
    "servers": (
        {"zone", "cell", "speed"},
        {
            "kind": "there is one kind",
            "special": "there is one kind",
            "tier": "there is one tier",
            "up": "all are up at the start",
            "weight": "the list of offices has no weights",
        },
    ),
    "balancers": (
        {"zone", "weight"},
        {"on": "all are on", "start": "all start at once", "tier": "there is one tier"},
    ),
    "tiers": (
        {"kinds", "report_how", "report_fields", "stated_cold", "stated_cold_from"},
        {
            "name": "a descriptive label",
            "calls": "there is one tier",
            "work": "there is one tier",
            "weights": "the list of offices has no weights",
            "report_period": "loads are reported as they are",
            "report_delay": "loads are reported as they are",
            "report_noise": "loads are reported as they are",
            "probe_cap_per_core": "probes are queued like other work",
            "probe_deep": "probes are queued like other work",
            "probe_timeout": "set by the call server: 250 ms",
            "probe_work": "a probe costs one `look`",
            "connect_timeout": "a lost connection is detected at once",
            "conn_cap_per_core": PERSISTENT_CONNECTIONS,
            "conn_full_tax": PERSISTENT_CONNECTIONS,
            "conn_idle": PERSISTENT_CONNECTIONS,
            "handshake_rtts": PERSISTENT_CONNECTIONS,
            "handshake_work": PERSISTENT_CONNECTIONS,
            "streams": PERSISTENT_CONNECTIONS,
        },
    ),
    "tiers.kinds": (
        {"cold", "cold_from", "error_rate"},
        {
            "name": "a descriptive label",
            "cancel": "determined by fam.cancel_drops",
            "drops_expired": "determined by fam.cancel_drops",
            **dict.fromkeys(("cores", "slots", "queue", "thrash", "knee", "holds_slot"), SINGLE_QUEUE),
            **dict.fromkeys(("pause", "pause_every", "pause_grow"), "single processors do not pause"),
            "warm_by_requests": "warm-up depends on time",
        },
    ),
}
"""The converted keys of each part, and those that are not converted, with the reason."""


def convert(bench: Any, name: str, seed: int) -> tuple[JsonObject, list[str]]:
    """Return the converted day and a note for each part that is not carried over.

    Raises InvalidSettings if the day cannot be converted.
    """
    if not isinstance(bench, dict) or not isinstance(bench.get("fam"), dict):
        raise InvalidSettings(name, ["not a day file of the bench: no object with the object `fam`"])
    missing = sorted(CONVERTED_KEYS - set(bench)) + sorted(
        f"fam.{key}" for key in FAM_CONVERTED_KEYS - set(bench["fam"])
    )
    if missing:
        raise InvalidSettings(name, [f"{key}: missing" for key in missing])
    fam = bench["fam"]
    if fam["pools"]:
        raise InvalidSettings(
            name, ["fam.pools = true: pools of agents are not played, only meshes of exchanges"]
        )
    notes = [f"{key}: not carried over: {NOT_CARRIED[key]}" for key in bench if key in NOT_CARRIED]
    notes += [
        f"{key}: not known, not carried over"
        for key in bench
        if key not in NOT_CARRIED and key not in CONVERTED_KEYS
    ]
    notes += _notes_on("fam", fam, FAM_CONVERTED_KEYS, FAM_NOT_CARRIED)
    for path, (converted, not_carried) in PARTS.items():
        part_name, _, sub_part = path.partition(".")
        part = bench[part_name]
        if isinstance(part, list):
            part = part[0] if part else {}
        if sub_part:
            part = part[sub_part][0]
        notes += _notes_on(path, part, converted, not_carried)
    day: JsonObject = {
        "name": name,
        "seed": seed,
        "length": format_us(bench["length"]),
        "tail": "30s",
        "use_cases": _traffic_classes(bench),
        "rules": _rules(bench),
        "limits": _limits(bench),
        "net": _net(bench["net"]),
        "callers": _callers(bench["clients"]),
        "offices": _offices(bench),
        "register": _register(bench["discovery"], notes),
        "exchanges": _exchanges(bench),
        "groups": _groups(fam),
        "shape": [[float(at), float(factor)] for at, factor in bench["traffic"]["shape"]],
    }
    if fam["drift"] and fam["drift_cv"]:
        day["drift"] = {"every": format_us(fam["drift"]), "cv": fam["drift_cv"]}
    if bench["traffic"].get("burst_cv") and bench["traffic"].get("burst_ms"):
        day["bursts"] = {
            "every": format_us(bench["traffic"]["burst_ms"] * 1000),
            "cv": bench["traffic"]["burst_cv"],
        }
    if fam["advice"]:
        day["centre"] = {"period": format_us(fam["advice"]), "late": "50ms"}
    day["troubles"] = _faults(bench, notes)
    return day, notes


def _notes_on(path: str, part: JsonObject, converted: set[str], not_carried: JsonObject) -> list[str]:
    """Return a note for each key of a part that is not converted: the reason, or that it is unknown."""
    return [
        f"{path}.{key}: not carried over: {not_carried[key]}"
        if key in not_carried
        else f"{path}.{key}: not known, not carried over"
        for key in part
        if key not in converted
    ]


def format_us(value: float) -> str:
    """Format a duration as whole microseconds in the syntax of the settings."""
    return f"{round(value)}us"


def _traffic_classes(bench: JsonObject) -> list[JsonObject]:
    fam = bench["fam"]
    return [
        {
            "name": row["name"],
            "share": row["share"],
            "payoff": row["worth"],
            "agreed_time": format_us(row["aim"]),
            "outer_limit": format_us(row["deadline"]),
            "late_share": row["late_worth"],
            "width": fam["width"][index],
            "hold": format_us(fam["hold"][index]),
        }
        for index, row in enumerate(bench["classes"])
    ]


def _rules(bench: JsonObject) -> JsonObject:
    tier = bench["tiers"][0]
    return {
        "release_wait": format_us(bench["fam"]["release"]),
        "drain_grace": format_us(bench["drain_grace"]),
        "cold_share": tier["stated_cold_from"],
        "cold_for": format_us(tier["stated_cold"]),
        "cold_multiple": bench["fall_multiple"],
        "cold_window": format_us(bench["fall_for"]),
    }


def _limits(bench: JsonObject) -> JsonObject:
    allow, clients = bench["allow"], bench["clients"]
    return {
        "most_dials": allow["max_attempts"],
        "may_cancel": allow["cancel"],
        "may_probe": allow["probes"],
        "may_tell_peers": allow["peers"],
        "longest_retry_after": format_us(clients["max_retry_after"] if allow["retry_after"] else 0),
        "marks_redials": clients["marks_retry"],
        "max_open": allow["max_open"],
    }


def _net(net: JsonObject) -> JsonObject:
    # The jitter of the bench lies on both sides of the mean; here it is added to the minimum.
    jitter = net["jitter"]
    return {
        "here": "20us",
        "same": format_us(net["same"] * (1 - jitter / 2)),
        "cross": format_us(net["cross"] * (1 - jitter / 2)),
        "jitter": min(1.0, jitter),
    }


def _callers(clients: JsonObject) -> JsonObject:
    return {
        "retries": clients["retries"],
        "patience": clients["try_share"],
        "pause": format_us(clients["backoff_us"] if clients["backoff"] != "none" else 10_000),
        "doubles": clients["backoff"] == "exp",
        "heeds": clients["honour"],
        "impatient": clients["impatient"],
    }


def _offices(bench: JsonObject) -> JsonObject:
    fam, tier = bench["fam"], bench["tiers"][0]
    kind = tier["kinds"][0]
    report_fields = {"util": "utilisation", "latency_ms": "wait", "qps": "takes", "eps": "hold_back"}
    reported = [report_fields[field] for field in tier["report_fields"] if field in report_fields]
    reports = (
        ",".join(reported) if tier["report_how"] != "none" and fam["far"] != "none" and reported else "none"
    )
    return {
        "queue": format_us(fam["queue"]),
        "look": fam["look"],
        "reject": fam["reject"],
        "follow": fam["follow"],
        "word": fam["peer_work"],
        "cold_share": min(1.0, kind["cold_from"]),
        "cold_for": format_us(kind["cold"]),
        "finish_first": fam["finish_first"],
        "cancel_drops": fam["cancel_drops"],
        "tells_wait": fam["tells_wait"],
        "reports": reports,
        "error_rate": kind["error_rate"],
        "noise": bench["classes"][0].get("attempt_noise", 0.0),
        "lines": max(1, fam["hot_lines"]),
    }


def _register(discovery: JsonObject, notes: list[str]) -> JsonObject:
    if discovery["ask"]:
        notes.append("discovery.ask: not carried over: the discovery server pushes to every connection")
    return {
        "notice": format_us(discovery["notice"]),
        "silent_notice": format_us(discovery["silent_notice"]),
        "add": format_us(discovery["add"]),
        "spread": format_us(discovery["spread"]),
    }


def _exchanges(bench: JsonObject) -> list[JsonObject]:
    """Return the exchanges with their traffic.

    Load x capacity dialogues per second are divided among the zones, within a zone by the weights of the streams, and
    then by the destinations of each exchange's dialogues.
    """
    fam, traffic, streams = bench["fam"], bench["traffic"], bench["balancers"]
    zone_weight: dict[int, float] = defaultdict(float)
    for stream in streams:
        zone_weight[stream["zone"]] += stream["weight"]
    total = sum(traffic["zone_share"][zone] for zone in zone_weight)
    exchanges = []
    for number in range(fam["n"]):
        stream, server = streams[number], bench["servers"][number]
        zone = stream["zone"]
        share = traffic["zone_share"][zone] / total * stream["weight"] / zone_weight[zone]
        rate = traffic["load"] * fam["capacity"] * share
        weights = fam["pull"][number]
        total_weight = sum(weights) or 1.0
        exchanges.append(
            {
                "number": number,
                "zone": bench["zones"][server["zone"]],
                "setup": format_us(bench["classes"][0]["work"] / server["speed"]),
                "calls": {
                    str(destination): rate * weight / total_weight
                    for destination, weight in enumerate(weights)
                    if weight > 0
                },
            }
        )
    return exchanges


def _groups(fam: JsonObject) -> list[JsonObject]:
    count = fam["n"]
    return [
        {"ends": [a, b], "size": fam["size"][a * count + b] or fam["size"][b * count + a]}
        for a in range(count)
        for b in range(a + 1, count)
        if fam["size"][a * count + b] or fam["size"][b * count + a]
    ]


CONVERTED_FAULTS = {
    "slow", "hang", "answer_lost", "burst", "hot_caller", "give_up", "neighbour", "shared_slow", "report_late",
    "balancer_crash", "ageing", "mass_restart", "crash",
}  # fmt: skip


def _faults(bench: JsonObject, notes: list[str]) -> list[JsonObject]:
    faults: list[JsonObject] = []
    for index, fault in enumerate(bench["troubles"]):
        kind, how = fault["kind"], fault.get("how") or ""
        numbers = [bench["servers"][server]["cell"] for server in fault["on"]]
        converted: JsonObject = {
            "kind": kind,
            "at": format_us(fault["at"]),
            "length": format_us(fault["len"]),
            "on": numbers,
            "size": fault["size"],
            "extra": fault["extra"],
        }
        if kind == "answer_lost":
            if how not in ("silence", "reset"):
                notes.append(f"troubles[{index}].how = {how!r}: not known, played as silence")
                how = "silence"
            faults.append({**converted, "how": how})
        elif kind == "deploy":
            for step in fault["steps"]:
                stopped = [bench["servers"][server]["cell"] for server in step["stop"]]
                faults.append(
                    {**converted, "at": format_us(step["at"]), "length": "0us", "on": stopped, "size": 1.0}
                )
        elif kind == "origin_slow":
            zone = fault["which"]
            in_zone = [
                server["cell"] for server in bench["servers"][: bench["fam"]["n"]] if server["zone"] == zone
            ]
            faults.append({**converted, "on": in_zone[:1]})
        elif kind in CONVERTED_FAULTS:
            if how not in ("", "short", "restart"):
                notes.append(f"troubles[{index}].how = {how!r} of {kind}: not known, played as usual")
            faults.append(converted)
        else:
            notes.append(f"troubles[{index}].kind = {kind!r}: not known, not played")
    return faults
